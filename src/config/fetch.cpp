/** @file fetch.cpp Parameters and result of the method `config.fetch`. */
#include "config/fetch_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::config {

using nlohmann::json;

json toJson(const FetchRequest &request)
{
    return {{"head", request.wantHead}, {"wanted", request.wanted}};
}

FetchRequest fetchRequestFromJson(const json &document)
{
    try {
        return {.wantHead = document.value("head", true),
                .wanted = document.value("wanted", GroupDigests {})};
    } catch (const json::exception &error) {
        throw UnreadableConfig(std::string("malformed parameters of config.fetch: ")
                               + error.what());
    }
}

json toJson(const FetchAnswer &answer)
{
    return {{"head", answer.headText}, {"groups", answer.values}};
}

FetchAnswer fetchAnswerFromJson(const json &document)
{
    try {
        return {.headText = document.at("head").get<std::string>(),
                .values = document.at("groups").get<GroupValues>()};
    } catch (const json::exception &error) {
        throw UnreadableConfig(std::string("malformed result of config.fetch: ") + error.what());
    }
}

FetchAnswer answerFetch(const ConfigState &state, const FetchRequest &request)
{
    FetchAnswer answer;
    if (request.wantHead)
        answer.headText = state.headText();
    answer.values = state.valuesFor(request.wanted, maxFetchBytes);
    return answer;
}

} // namespace teaselreach::config
