/** @file member_json.cpp Encodes and decodes membership messages. */
#include "member/member_table_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::member {

namespace {

using nlohmann::json;

json entryToJson(const MemberEntry &entry)
{
    return json::array({entry.vm.str(), entry.incarnation.count(), entry.counter.count(),
                        entry.state == core::VmState::Leaving, entry.revision.count(),
                        entry.heardDirectly});
}

MemberEntry entryFromJson(const json &entry)
{
    return {.vm = core::VmId(entry.at(0).get<std::string>()),
            .incarnation = core::Incarnation(entry.at(1).get<std::uint64_t>()),
            .counter = RoundCounter(entry.at(2).get<std::uint64_t>()),
            .state = entry.at(3).get<bool>() ? core::VmState::Leaving : core::VmState::Live,
            .revision = core::Revision(entry.at(4).get<std::uint64_t>()),
            .heardDirectly = entry.at(5).get<bool>()};
}

} // namespace

json toJson(const MemberMessage &message)
{
    json entries = json::array();
    for (const MemberEntry &entry : message.entries)
        entries.push_back(entryToJson(entry));
    json document {{"sender", entryToJson(message.sender)}, {"entries", std::move(entries)}};
    if (message.storeAge)
        document["store_age_ms"] = message.storeAge->count();
    return document;
}

MemberMessage memberMessageFromJson(const json &document)
{
    try {
        MemberMessage message {.sender = entryFromJson(document.at("sender"))};
        const json &entries = document.at("entries");
        if (entries.size() > maxEntries)
            throw MalformedMessage("'entries' has " + std::to_string(entries.size())
                                   + " entries, expected at most " + std::to_string(maxEntries));
        for (const json &entry : entries)
            message.entries.push_back(entryFromJson(entry));
        if (document.contains("store_age_ms"))
            message.storeAge = core::Millis(document["store_age_ms"].get<std::uint32_t>());
        return message;
    } catch (const json::exception &error) {
        throw MalformedMessage(std::string("malformed peer.exchange: ") + error.what());
    }
}

} // namespace teaselreach::member
