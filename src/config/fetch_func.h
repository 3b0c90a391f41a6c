/** @file fetch_func.h Parameters and result of the method `config.fetch` (design, section 3.3). */
#pragma once

#include "config/config_state_base.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace teaselreach::config {

/// Bound on the group values in one answer; a daemon that needs more asks again.
inline constexpr std::size_t maxFetchBytes = 524'288;

/** What a daemon asks a peer for: first the head, then the groups that it needs. */
struct FetchRequest
{
    bool wantHead = true;
    GroupDigests wanted; ///< Names and digests.
};

/** The peer's answer. */
struct FetchAnswer
{
    std::string headText; ///< Empty if not asked for or if the peer has no configuration.
    GroupValues values;   ///< Not checked yet: ConfigState::apply() compares digests.
};

/** @return The JSON form of a request. */
nlohmann::json toJson(const FetchRequest &request);
/** @return The request. @throws UnreadableConfig */
FetchRequest fetchRequestFromJson(const nlohmann::json &json);
/** @return The JSON form of an answer. */
nlohmann::json toJson(const FetchAnswer &answer);
/** @return The answer. @throws UnreadableConfig */
FetchAnswer fetchAnswerFromJson(const nlohmann::json &json);
/** @return The answer that a daemon gives from the configuration it holds. */
FetchAnswer answerFetch(const ConfigState &state, const FetchRequest &request);

} // namespace teaselreach::config
