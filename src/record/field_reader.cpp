/** @file field_reader.cpp Reads typed fields of a JSON object and collects all problems. */
#include "record/field_reader_internal.h"

#include <limits>

namespace teaselreach::record::detail {

FieldReader::FieldReader(const nlohmann::json &json, RecordRef ref)
    : json_(json)
    , ref_(std::move(ref))
{ }

const nlohmann::json *FieldReader::find(const std::string &field)
{
    knownFields_.insert(field);
    const auto found = json_.find(field);
    return found == json_.end() ? nullptr : &*found;
}

void FieldReader::addProblem(const std::string &field, const std::string &expected)
{
    const auto found = json_.find(field);
    problems_.push_back({ref_, field, found == json_.end() ? "" : found->dump(), expected});
}

std::string FieldReader::readString(const std::string &field, std::optional<std::string> fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr && fallback)
        return *fallback;
    if (value != nullptr && value->is_string())
        return value->get<std::string>();
    addProblem(field, "a string");
    return {};
}

int FieldReader::readInteger(const std::string &field, std::optional<int> fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr && fallback)
        return *fallback;
    if (value != nullptr && value->is_number_integer()) {
        const double wide = value->get<double>();
        if (wide >= std::numeric_limits<int>::min() && wide <= std::numeric_limits<int>::max())
            return value->get<int>();
    }
    addProblem(field, "an integer");
    return 0;
}

double FieldReader::readNumber(const std::string &field, std::optional<double> fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr && fallback)
        return *fallback;
    if (value != nullptr && value->is_number())
        return value->get<double>();
    addProblem(field, "a number");
    return 0;
}

bool FieldReader::readBool(const std::string &field, std::optional<bool> fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr && fallback)
        return *fallback;
    if (value != nullptr && value->is_boolean())
        return value->get<bool>();
    addProblem(field, "true or false");
    return false;
}

std::vector<std::string> FieldReader::readStringList(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return {};
    std::vector<std::string> result;
    bool valid = value->is_array();
    for (const nlohmann::json &item : valid ? *value : nlohmann::json::array()) {
        valid = valid && item.is_string();
        if (item.is_string())
            result.push_back(item.get<std::string>());
    }
    if (!valid)
        addProblem(field, "a list of strings");
    return result;
}

void FieldReader::finish()
{
    for (const auto &[field, value] : json_.items()) {
        if (!knownFields_.contains(field))
            addProblem(field, "no field with this name");
    }
    if (!problems_.empty())
        throw InvalidRecords(std::move(problems_));
}

} // namespace teaselreach::record::detail
