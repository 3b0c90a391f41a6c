/** @file fetch_func.h Parameters and result of the method `config.fetch` (design, section 3.3). */
#pragma once

#include "config/config_state_base.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace teaselreach::config {

/// Limit in bytes on the group values in one answer; the caller requests the rest in further calls.
inline constexpr std::size_t maxFetchBytes = 524'288;

/** Request to a peer. A daemon first requests the head, then the groups that it lacks. */
struct FetchRequest
{
    bool wantHead = true;
    GroupDigests wanted; ///< The requested groups.
};

/** Answer to a FetchRequest. */
struct FetchAnswer
{
    std::string headText; ///< Empty if not requested or if the peer has no configuration.
    GroupValues values;   ///< Not verified; ConfigState::apply() compares the digests.
};

/** Encodes a request. */
nlohmann::json toJson(const FetchRequest &request);
/** Decodes a request. @throws UnreadableConfig */
FetchRequest fetchRequestFromJson(const nlohmann::json &json);
/** Encodes an answer. */
nlohmann::json toJson(const FetchAnswer &answer);
/** Decodes an answer. @throws UnreadableConfig */
FetchAnswer fetchAnswerFromJson(const nlohmann::json &json);
/** @return The answer to a request from a daemon's active configuration. */
FetchAnswer answerFetch(const ConfigState &state, const FetchRequest &request);

} // namespace teaselreach::config
