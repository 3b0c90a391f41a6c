/** @file digest_json_func.h The form in which evidence digests travel in peer.exchange. */
#pragma once

#include "core/error_type.h"
#include "upstream/upstream_type.h"

#include <nlohmann/json_fwd.hpp>

namespace teaselreach::upstream {

/** A digest received from a peer cannot be read. */
class InvalidDigest : public core::Error
{
public:
    /** @param what The element and what is wrong with it. */
    explicit InvalidDigest(const std::string &what)
        : Error("invalid_digest", what)
    { }
};

/** @return The digest as an array, short enough to send 64 of them in a message. */
nlohmann::json digestToJson(const EvidenceDigest &digest);

/**
 * @param json An array as digestToJson() makes it; further elements are ignored.
 * @throws InvalidDigest if an element is missing or out of range.
 */
EvidenceDigest digestFromJson(const nlohmann::json &json);

} // namespace teaselreach::upstream
