/** @file placement_json.cpp Encodes and decodes the stored form of the placement. */
#include "limit/placement_base.h"

#include <nlohmann/json.hpp>

#include <map>

namespace teaselreach::limit {

namespace {

/** Index that stands for no owner in the stored form. */
constexpr int noOwner = -1;

/** @throws std::out_of_range if the index is not in the list. */
core::VmId ownerAt(const std::vector<std::string> &vms, int index)
{
    if (index == noOwner)
        return core::VmId();
    return core::VmId(vms.at(static_cast<std::size_t>(index)));
}

Placement fromJson(const nlohmann::json &document)
{
    const int version = document.at("schema_version").get<int>();
    if (version != placementSchemaVersion)
        throw PlacementInvalid("placement has schema version " + std::to_string(version)
                               + "; expected " + std::to_string(placementSchemaVersion));
    const auto vms = document.at("vms").get<std::vector<std::string>>();
    const auto &partitions = document.at("partitions");
    if (partitions.size() != partitionCount)
        throw PlacementInvalid("placement has " + std::to_string(partitions.size())
                               + " partitions; expected " + std::to_string(partitionCount));
    Placement placement;
    placement.revision = core::Revision(document.at("revision").get<std::uint64_t>());
    for (std::size_t partition = 0; partition < partitionCount; ++partition) {
        const auto owners = partitions[partition].get<std::array<int, slotsPerPartition>>();
        for (std::size_t slot = 0; slot < slotsPerPartition; ++slot)
            placement.partitions[partition][slot] = ownerAt(vms, owners[slot]);
    }
    return placement;
}

} // namespace

std::string encodePlacement(const Placement &placement)
{
    std::map<core::VmId, int> indexes;
    std::vector<std::string> vms;
    nlohmann::json partitions = nlohmann::json::array();
    for (const PartitionHomes &homes : placement.partitions) {
        nlohmann::json owners = nlohmann::json::array();
        for (const core::VmId &owner : homes) {
            const auto [entry, added] =
                indexes.emplace(owner, owner.empty() ? noOwner : static_cast<int>(vms.size()));
            if (added && !owner.empty())
                vms.push_back(owner.str());
            owners.push_back(entry->second);
        }
        partitions.push_back(std::move(owners));
    }
    return nlohmann::json {{"schema_version", placementSchemaVersion},
                           {"revision", placement.revision.count()},
                           {"vms", vms},
                           {"partitions", std::move(partitions)}}
        .dump();
}

Placement decodePlacement(std::string_view text)
{
    try {
        return fromJson(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &e) {
        throw PlacementInvalid("placement is malformed: " + std::string(e.what()));
    } catch (const std::out_of_range &) {
        throw PlacementInvalid("placement contains an owner index outside its list of VMs");
    }
}

} // namespace teaselreach::limit
