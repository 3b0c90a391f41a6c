/** @file record_type.h The records that operators write, in their newest form. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::record {

/** How long requests of a route may wait for a slot, compared with others. */
enum class RouteClass : std::uint8_t { Urgent, Normal, Deferrable };

/** A customer of the operator whose callers send requests. */
struct ClientAccount
{
    core::ClientAccountId id;
    std::string displayName;
    std::vector<core::RouteId> routes; ///< Routes that this account's keys may use.
    int weight = 1; ///< Share of upstream slots in the fair queue, from 1 to 100.

    bool operator==(const ClientAccount &) const = default;
};

/** A key of a client account. Only its digest is kept. */
struct Key
{
    core::KeyId id;
    core::ClientAccountId account;
    std::string digest; ///< SHA-256 of the key, 64 hexadecimal characters.
    bool withdrawn = false;

    bool operator==(const Key &) const = default;
};

/** Where requests with a path prefix go, and how they may be treated. */
struct Route
{
    core::RouteId id;
    std::string pathPrefix;           ///< Begins with '/'.
    std::vector<std::string> methods; ///< Upper case; empty means all.
    core::ServiceId service;
    bool openToAll = false;  ///< Runs without a key.
    bool idempotent = false; ///< Whether a request may be sent a second time.
    RouteClass routeClass = RouteClass::Normal;
    core::Millis timeout {2000}; ///< Longest time a request may take.

    bool operator==(const Route &) const = default;
};

/** The rate and burst of a client account over all VMs together. */
struct Limit
{
    core::ClientAccountId account;
    double ratePerSecond = 0; ///< Requests per second.
    double burst = 0;         ///< Requests.
    int homes = 1;            ///< Number of home VMs that hold a share, 1 to 3; fixed at creation.

    bool operator==(const Limit &) const = default;
};

/** A group of upstreams that do the same work. */
struct Service
{
    core::ServiceId id;
    int slotsPerUpstream = 2;            ///< Requests an upstream works on at a time.
    int maxConnectionsPerUpstream = 350; ///< Over all VMs together.
    double floor = 0.7;                  ///< Fraction of upstreams that ejection leaves in use.

    bool operator==(const Service &) const = default;
};

/** A service-level objective, for the burn report. */
struct Objective
{
    core::ObjectiveId id;
    core::ServiceId service;
    std::optional<core::ClientAccountId> account; ///< All accounts if not set.
    double target = 0.999;      ///< Fraction of requests that must be good, below 1.
    core::Millis latency {500}; ///< A slower answer is not good.

    bool operator==(const Objective &) const = default;
};

/** All records of one revision of the configuration. */
struct RecordSet
{
    std::vector<ClientAccount> accounts;
    std::vector<Key> keys;
    std::vector<Route> routes;
    std::vector<Limit> limits;
    std::vector<Service> services;
    std::vector<Objective> objectives;

    bool operator==(const RecordSet &) const = default;
};

} // namespace teaselreach::record
