/** @file message_pack.cpp Parses MessagePack documents of other VMs. */
#include "fleet/message_pack_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace teaselreach::proxy {

namespace {

using nlohmann::json;

/** Deepest nesting of a message. */
constexpr int maxNesting = 16;

/** Stops at the first array or object that is nested too deeply. */
class NestingChecker : public nlohmann::json_sax<json>
{
public:
    bool isTooDeep() const { return depth_ > maxNesting; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= maxNesting; }
    bool key(string_t &) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= maxNesting; }
    bool end_array() override { return --depth_ >= 0; }
    /** Other errors are left to the parser that builds the document. */
    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    int depth_ = 0;
};

} // namespace

json parseMessagePack(std::string_view bytes)
{
    NestingChecker checker;
    json::sax_parse(bytes.begin(), bytes.end(), &checker, json::input_format_t::msgpack);
    if (checker.isTooDeep())
        throw json::out_of_range::create(
            408, "a MessagePack document has more than " + std::to_string(maxNesting) + " levels",
            nullptr);
    return json::from_msgpack(bytes.begin(), bytes.end());
}

std::int64_t wholeNumber(const nlohmann::json &value)
{
    if (!value.is_number_integer())
        throw nlohmann::json::type_error::create(302, "expected a whole number", &value);
    return value.get<std::int64_t>();
}

int wholeInt(const nlohmann::json &value)
{
    return static_cast<int>(std::clamp<std::int64_t>(
        wholeNumber(value), std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
}

} // namespace teaselreach::proxy
