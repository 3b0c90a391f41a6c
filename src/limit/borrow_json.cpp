/** @file borrow_json.cpp JSON form of the `limit.borrow` messages; times in microseconds. */
#include "limit/borrow_json_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::limit {

namespace {

/** @return The id as an array [incarnation, sequence]. */
template <typename Tag>
nlohmann::json idToJson(const ProcessUniqueId<Tag> &id)
{
    return nlohmann::json::array({id.incarnation.count(), id.sequence});
}

/** @return The id written by idToJson(). */
template <typename Id>
Id idFromJson(const nlohmann::json &document)
{
    return Id {.incarnation = core::Incarnation(document.at(0).get<std::uint64_t>()),
               .sequence = document.at(1).get<std::uint64_t>()};
}

} // namespace

nlohmann::json borrowRequestToJson(const BorrowRequest &request)
{
    nlohmann::json finished = nlohmann::json::array();
    for (const FinishedLoan &loan : request.finished)
        finished.push_back({{"loan", idToJson(loan.id)}, {"unused", loan.unused}});
    return {{"account", request.account.str()},
            {"slot", request.slot},
            {"id", idToJson(request.id)},
            {"wanted", request.wanted},
            {"max_delay_us", request.maxDelay.count()},
            {"finished", std::move(finished)}};
}

BorrowRequest borrowRequestFromJson(const nlohmann::json &document)
{
    BorrowRequest request {.account = core::ClientAccountId(document.at("account")),
                           .slot = document.at("slot"),
                           .id = idFromJson<BorrowId>(document.at("id")),
                           .wanted = document.at("wanted"),
                           .maxDelay =
                               core::Micros(document.at("max_delay_us").get<std::int64_t>()),
                           .finished = {}};
    for (const nlohmann::json &loan : document.at("finished")) {
        request.finished.push_back(
            {.id = idFromJson<LoanId>(loan.at("loan")), .unused = loan.at("unused")});
    }
    return request;
}

nlohmann::json borrowAnswerToJson(const BorrowAnswer &answer)
{
    nlohmann::json delays = nlohmann::json::array();
    for (const core::Micros delay : answer.delays)
        delays.push_back(delay.count());
    return {{"account", answer.account.str()},
            {"slot", answer.slot},
            {"id", idToJson(answer.id)},
            {"acting", answer.acting},
            {"loan", idToJson(answer.loan)},
            {"delays_us", std::move(delays)},
            {"lifetime_us", answer.lifetime.count()},
            {"level", answer.level}};
}

BorrowAnswer borrowAnswerFromJson(const nlohmann::json &document)
{
    BorrowAnswer answer {.account = core::ClientAccountId(document.at("account")),
                         .slot = document.at("slot"),
                         .id = idFromJson<BorrowId>(document.at("id")),
                         .acting = document.at("acting"),
                         .loan = idFromJson<LoanId>(document.at("loan")),
                         .delays = {},
                         .lifetime = core::Micros(document.at("lifetime_us").get<std::int64_t>()),
                         .level = document.at("level")};
    for (const nlohmann::json &delay : document.at("delays_us"))
        answer.delays.emplace_back(delay.get<std::int64_t>());
    return answer;
}

} // namespace teaselreach::limit
