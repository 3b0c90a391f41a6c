/** @file record_type.h Configuration records written by operators, in their newest schema. */
#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::record {

/** Priority of a route's requests among the queued requests of the same client account. */
enum class RouteClass : std::uint8_t { Urgent, Normal, Deferrable };

/** A customer of the operator whose callers send requests. */
struct ClientAccount
{
    core::ClientAccountId id;
    std::string displayName;
    std::vector<core::RouteId> routes; ///< Routes that this account's keys may use.
    int weight = 1;                    ///< Weight in the fair queue for upstream slots, 1 to 100.

    bool operator==(const ClientAccount &) const = default;
};

/** An API key of a client account. Only its digest is stored. */
struct Key
{
    core::KeyId id;
    core::ClientAccountId account;
    std::string digest;     ///< SHA-256 of the key, 64 hexadecimal characters.
    bool withdrawn = false; ///< Revoked for good.

    bool operator==(const Key &) const = default;
};

/** Assigns requests with a path prefix to a service and sets how they are handled. */
struct Route
{
    core::RouteId id;
    std::string pathPrefix;           ///< Begins with '/'.
    std::vector<std::string> methods; ///< Upper case; empty means all.
    core::ServiceId service;
    bool openToAll = false;  ///< Requests need no API key.
    bool idempotent = false; ///< Whether a request may be sent to an upstream more than once.
    RouteClass routeClass = RouteClass::Normal;
    core::Millis timeout {2000}; ///< Longest time that a request may take.

    bool operator==(const Route &) const = default;
};

/** Rate limit of a client account over all VMs together, as a token bucket. */
struct Limit
{
    core::ClientAccountId account;
    double ratePerSecond = 0; ///< Requests per second.
    double burst = 0;         ///< Bucket size, in requests.
    int homes = 1;            ///< Home VMs that hold equal shares, 1 to 3; fixed at creation.

    bool operator==(const Limit &) const = default;
};

/** A group of interchangeable upstreams. */
struct Service
{
    core::ServiceId id;
    int slotsPerUpstream = 2;            ///< Requests that an upstream handles concurrently.
    int maxConnectionsPerUpstream = 350; ///< Over all VMs together.
    double floor = 0.7;                  ///< Smallest fraction left in use by outlier ejection.

    bool operator==(const Service &) const = default;
};

/** A service-level objective, used for the report of the error budget's burn rate. */
struct Objective
{
    core::ObjectiveId id;
    core::ServiceId service;
    std::optional<core::ClientAccountId> account; ///< All accounts if not set.
    double target = 0.999;      ///< Fraction of requests that must be good, below 1.
    core::Millis latency {500}; ///< A slower response does not count as good.

    bool operator==(const Objective &) const = default;
};

/** All records of one configuration revision. */
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
