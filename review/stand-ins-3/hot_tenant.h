/** @file hot_tenant.h What the cases 14 and 15 have in common: a zone, and a tenant that is hot. */
#pragma once

#include "rig.h"

#include <algorithm>
#include <random>

namespace rig {

inline constexpr double ratePerS = 20;
inline constexpr double burst = 20;
inline constexpr double window = 5;
inline constexpr double overrun = 0.1;
inline constexpr double slack = 20;
inline constexpr double allowed = (ratePerS * window + burst) * (1 + overrun) + slack;
/** The tenant usually sends its rate divided by 1.6 (quota_x of the site file), and 7.5 times that
 * for 6.5 seconds. */
inline constexpr double usualPerS = ratePerS / 1.6;
inline constexpr double hotFactor = 7.5;
inline constexpr double hotTime = 6.5;
inline constexpr int daemons = 6;
inline constexpr int callers = 24;
inline constexpr double ttl = 2;

struct Sent
{
    double at = 0;
    int port = 0;
};

/** A daemon that takes callers, and its path to the store. */
struct ActiveFront
{
    Daemon &daemon;
    Path &path;
};

/** Six daemons of one zone; 24 callers of one tenant, which is hot for a time.
 * @param hotAfter From the disruption until the tenant is hot.
 * @param disrupt Called at the disruption with its time; returns once that is over.
 * @return 1 if the tenant got more than is allowed, 2 if the case could not run, otherwise 0. */
inline int playHotTenant(
    const std::string &folder, double hotAfter,
    const std::function<void(const std::vector<ActiveFront> &active, double time)> &disrupt)
{
    const std::string address = ownAddress();
    auto &store = *new Store(address); // Its threads end with the process.
    json configuration = smallConfiguration();
    configuration["tenants"] = {{{"name", "bakery"},
                                 {"apiKeys", {"key-of-the-bakery"}},
                                 {"ratePerS", ratePerS},
                                 {"burst", burst}}};
    store.put("op/config", configuration);
    std::vector<Instance *> instances;
    for (int i = 1; i <= 10; ++i)
        instances.push_back(new Instance(store, address, "i-" + std::to_string(i), "north-a", 20));
    std::vector<Path *> paths;
    std::vector<Daemon *> fronts;
    for (int i = 0; i < daemons; ++i) {
        paths.push_back(new Path(address, store.port()));
        fronts.push_back(new Daemon(folder, address, "front-" + std::to_string(i + 1), "north-a",
                                    paths.back()->port(), smallBounds()));
    }
    // Only now, so that no daemon gets a port that another one is about to take.
    for (Daemon *front : fronts)
        front->start();
    if (!waitReady(fronts))
        return notRun("the daemons are not ready");
    sleepUntil(now() + 4);
    const double begin = now();
    const double trouble = begin + 12;
    const double end = trouble + 12;
    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back([&, caller] {
            std::mt19937 random(static_cast<unsigned>(caller + getpid()));
            std::vector<int> ports;
            double resolvedAt = 0;
            int number = 0;
            const auto interval = [&](double at) {
                const bool isHot = at >= trouble + hotAfter && at < trouble + hotAfter + hotTime;
                return callers / (usualPerS * (isHot ? hotFactor : 1));
            };
            // The hot time starts for all callers, not only for those whose turn it is.
            double at = begin + caller / usualPerS;
            while (at < end) {
                sleepUntil(at);
                const double next = at + interval(at);
                const double hotFrom = trouble + hotAfter + caller / (usualPerS * hotFactor);
                at = at < hotFrom && next > hotFrom ? hotFrom : next;

                if (ports.empty() || now() - resolvedAt > ttl) {
                    const auto fresh = resolve(*fronts[random() % fronts.size()]);
                    ports = fresh.empty() ? ports : fresh;
                    resolvedAt = now();
                }
                if (ports.empty())
                    continue;
                const int port = ports[random() % ports.size()];
                const std::string id =
                    "c" + std::to_string(caller) + "-" + std::to_string(++number);
                {
                    const std::lock_guard lock(mutex);
                    sent[id] = {now(), port};
                }
                const int descriptor = connectTo(address, port);
                sendAll(descriptor, requestBytes("POST", "/book/x", id, 3000, "slot"));
                Reader(descriptor).read();
                close(descriptor);
            }
        });
    sleepUntil(trouble);
    const std::vector<int> ports = resolve(*fronts.front());
    std::vector<ActiveFront> active;
    for (int i = 0; i < daemons; ++i) {
        const bool isActive =
            std::find(ports.begin(), ports.end(), fronts[i]->front) != ports.end();
        record().add(fronts[i]->name() + (isActive ? " takes callers" : " takes no callers"));
        if (isActive)
            active.push_back({*fronts[i], *paths[i]});
    }
    if (hasTrouble())
        disrupt(active, trouble);
    for (std::thread &thread : threads)
        thread.join();
    std::vector<std::pair<double, Sent>> runs;
    for (Instance *instance : instances) {
        for (const auto &run : instance->runs())
            runs.emplace_back(run.at, sent.at(run.request));
    }
    std::sort(runs.begin(), runs.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    std::size_t most = 0;
    double mostFrom = 0;
    std::map<int, int> mostBy;
    for (const auto &first : runs) {
        std::size_t count = 0;
        std::map<int, int> by;
        const double from = std::min(first.first, first.second.at);
        for (const auto &[at, request] : runs) {
            if (at < from || at > from + window || request.at < from || request.at > from + window)
                continue;
            ++count;
            ++by[request.port];
        }
        if (count > most) {
            most = count;
            mostFrom = from;
            mostBy = by;
        }
    }
    record().add("most in 5 s: " + std::to_string(most) + ", allowed " + std::to_string(allowed)
                 + ", from " + std::to_string(mostFrom - trouble) + " s after the disruption");
    for (const Daemon *front : fronts)
        record().add("of these by " + front->name() + ": " + std::to_string(mostBy[front->front]));
    for (Daemon *front : fronts)
        front->kill(SIGKILL);
    return static_cast<double>(most) > allowed ? 1 : 0;
}

} // namespace rig
