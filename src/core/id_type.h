/** @file id_type.h The id types that several subsystems share. */
#pragma once

#include "core/strong_type.h"

#include <cstdint>

namespace teaselreach::core {

using VmId = StringId<struct VmIdTag>; ///< An entry VM, as the platform's list names it.
using RegionId = StringId<struct RegionIdTag>;
using AvailabilityZoneId = StringId<struct AvailabilityZoneIdTag>;
using ClientAccountId = StringId<struct ClientAccountIdTag>;
using KeyId = StringId<struct KeyIdTag>; ///< Names a key record; never the key itself.
using RouteId = StringId<struct RouteIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
using ObjectiveId = StringId<struct ObjectiveIdTag>;
using UpstreamId = StringId<struct UpstreamIdTag>; ///< One instance of a service.
using RequestId = StringId<struct RequestIdTag>;
using ChangeId = StringId<struct ChangeIdTag>; ///< Names one attempt to change the configuration.

using Revision = StrongInt<struct RevisionTag, std::uint64_t>;       ///< Of the configuration.
using Incarnation = StrongInt<struct IncarnationTag, std::uint64_t>; ///< Of a daemon process.

/** Availability zone and region of a VM or an upstream. */
struct Location
{
    AvailabilityZoneId availabilityZone;
    RegionId region;

    bool operator==(const Location &) const = default;
};

} // namespace teaselreach::core
