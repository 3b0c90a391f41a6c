/** @file load_table.h Load patterns that the placement, waits and refusals are measured on. */
#pragma once

#include "standins/proxy_emulator.h"

#include <vector>

namespace teaselreach::standins {

/** @return A lookup that may be repeated and a booking that may not, for one slot desk. */
inline std::vector<EmulatedKind> slotDeskKinds()
{
    const core::ServiceId service("slot-desk");
    return {{.route = {.id = core::RouteId("lookup"),
                       .idempotent = true,
                       .timeout = core::Millis(1500),
                       .targetLatency = core::Millis(500),
                       .priority = 2,
                       .maxAttempts = 2,
                       .destinations = {{.service = service}}},
             .perSecond = 23,
             .meanWork = core::Millis(120),
             .worth = 1,
             .lateWorth = 0.3},
            {.route = {.id = core::RouteId("booking"),
                       .idempotent = false,
                       .timeout = core::Millis(1500),
                       .targetLatency = core::Millis(500),
                       .priority = 1,
                       .maxAttempts = 2,
                       .destinations = {{.service = service}}},
             .perSecond = 74,
             .meanWork = core::Millis(160),
             .worth = 2,
             .lateWorth = 0.6}};
}

/** @return The patterns: each names what is at its worst. */
inline std::vector<EmulatedLoad> emulatedLoads()
{
    using enum EmulatedTrouble;
    const auto at = core::Micros(core::Seconds(8));
    const auto length = core::Micros(core::Seconds(6));
    return {
        {.name = "calm"},
        {.name = "high_load", .scale = 1.9},
        {.name = "burst",
         .disturbances = {{.trouble = Burst, .at = at, .length = length, .factor = 3}}},
        {.name = "short_burst",
         .disturbances =
             {{.trouble = Burst, .at = at, .length = core::Millis(2700), .factor = 1.7}},
         .scale = 1.6},
        {.name = "one_zone_takes_all",
         .disturbances = {{.trouble = Shift, .at = at, .length = length, .share = 0.5}}},
        {.name = "half_gone",
         .disturbances = {{.trouble = Gone, .at = at, .length = length, .share = 0.5}}},
        {.name = "half_slow",
         .disturbances =
             {{.trouble = Slow, .at = at, .length = length, .share = 0.5, .factor = 5}}},
        {.name = "fifth_slow_tenfold",
         .disturbances =
             {{.trouble = Slow, .at = at, .length = length, .share = 0.2, .factor = 10}}},
        {.name = "fifth_fail_half",
         .disturbances =
             {{.trouble = Errors, .at = at, .length = length, .share = 0.2, .factor = 0.5}}},
        {.name = "third_fail_most",
         .disturbances =
             {{.trouble = Errors, .at = at, .length = length, .share = 0.33, .factor = 0.9}}},
        {.name = "tenth_mute",
         .disturbances = {{.trouble = Mute, .at = at, .length = length, .share = 0.11}}},
        {.name = "all_shed_half",
         .disturbances = {{.trouble = Shed, .at = at, .length = length, .factor = 0.5}}},
        {.name = "all_refuse_over_half",
         .disturbances = {{.trouble = Shed,
                           .at = core::Seconds(27),
                           .length = core::Millis(8500),
                           .factor = 0.55}},
         .length = core::Seconds(45)},
        {.name = "zone_overloaded",
         .disturbances = {{.trouble = Shift, .at = at, .length = length, .share = 0.6}},
         .scale = 1.9},
        {.name = "half_gone_at_full_load",
         .disturbances = {{.trouble = Gone, .at = at, .length = length, .share = 0.5}},
         .scale = 2.2},
        {.name = "all_restart_while_half_slow",
         .disturbances = {{.trouble = Slow, .at = at, .length = length, .share = 0.5, .factor = 5},
                          {.trouble = Restart, .at = at + core::Seconds(2)}}},
        {.name = "burst_with_repeating_callers",
         .disturbances =
             {{.trouble = Burst, .at = at, .length = length, .factor = 3},
              {.trouble = Repeats, .at = at, .length = length, .share = 0.3, .factor = 3}}},
    };
}

} // namespace teaselreach::standins
