/** @file digest_json_func.h JSON encoding of evidence digests in peer.exchange messages. */
#pragma once

#include "core/error_type.h"
#include "upstream/upstream_type.h"

#include <nlohmann/json_fwd.hpp>

namespace teaselreach::upstream {

/** Thrown if a digest received from a peer is malformed. */
class InvalidDigest : public core::Error
{
public:
    /** @param what The element and the reason why it is invalid. */
    explicit InvalidDigest(const std::string &what)
        : Error("invalid_digest", what)
    { }
};

/**
 * @return The digest as an array of plain values, compact because a message carries up to 64
 * digests.
 */
nlohmann::json digestToJson(const EvidenceDigest &digest);

/**
 * @param json An array as encoded by digestToJson(); additional elements are ignored.
 * @throws InvalidDigest if an element is missing or out of range.
 */
EvidenceDigest digestFromJson(const nlohmann::json &json);

} // namespace teaselreach::upstream
