/** @file case.cpp The store turns the two machines away that take the callers of a zone. */
#include "../stand-ins-3/rig.h"

#include <algorithm>
#include <random>

namespace {

constexpr double ratePerS = 20;
constexpr double burst = 20;
constexpr double window = 5;
constexpr double overrun = 0.1;
constexpr double slack = 20;
constexpr double allowed = (ratePerS * window + burst) * (1 + overrun) + slack;
/** The tenant usually sends its rate divided by 1.6 (quota_x of the site file), and 7.5 times that
 * for 6.5 seconds. */
constexpr double usualPerS = ratePerS / 1.6;
constexpr double hotFactor = 7.5;
constexpr double hotTime = 6.5;
/** Time for which the store turns machines away, and from its start until the tenant is hot. */
constexpr double awayTime = 9;
constexpr double hotAfter = 5;
constexpr int daemons = 6;
constexpr int callers = 24;
constexpr double ttl = 2;

struct Sent
{
    double at = 0;
    int port = 0;
};

int play(const std::string &folder)
{
    const std::string address = rig::ownAddress();
    auto &store = *new rig::Store(address); // Its threads end with the process.
    rig::json configuration = rig::smallConfiguration();
    configuration["tenants"] = {{{"name", "bakery"},
                                 {"apiKeys", {"key-of-the-bakery"}},
                                 {"ratePerS", ratePerS},
                                 {"burst", burst}}};
    store.put("op/config", configuration);
    std::vector<rig::Instance *> instances;
    for (int i = 1; i <= 10; ++i)
        instances.push_back(
            new rig::Instance(store, address, "i-" + std::to_string(i), "north-a", 20));
    std::vector<rig::Path *> paths;
    std::vector<rig::Daemon *> fronts;
    for (int i = 0; i < daemons; ++i) {
        paths.push_back(new rig::Path(address, store.port()));
        fronts.push_back(new rig::Daemon(folder, address, "front-" + std::to_string(i + 1),
                                         "north-a", paths.back()->port(), rig::smallBounds()));
        fronts.back()->start();
    }
    if (!rig::waitReady(fronts))
        return 2;
    rig::sleepUntil(rig::now() + 4);
    const double begin = rig::now();
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
                rig::sleepUntil(at);
                const double next = at + interval(at);
                const double hotFrom = trouble + hotAfter + caller / (usualPerS * hotFactor);
                at = at < hotFrom && next > hotFrom ? hotFrom : next;

                if (ports.empty() || rig::now() - resolvedAt > ttl) {
                    const auto fresh = rig::resolve(*fronts[random() % fronts.size()]);
                    ports = fresh.empty() ? ports : fresh;
                    resolvedAt = rig::now();
                }
                if (ports.empty())
                    continue;
                const int port = ports[random() % ports.size()];
                const std::string id =
                    "c" + std::to_string(caller) + "-" + std::to_string(++number);
                {
                    const std::lock_guard lock(mutex);
                    sent[id] = {rig::now(), port};
                }
                const int descriptor = rig::connectTo(address, port);
                rig::sendAll(descriptor, rig::requestBytes("POST", "/book/x", id, 3000, "slot"));
                rig::Reader(descriptor).read();
                close(descriptor);
            }
        });
    rig::sleepUntil(trouble);
    const std::vector<int> active = rig::resolve(*fronts.front());
    for (int i = 0; i < daemons; ++i) {
        const bool isActive =
            std::find(active.begin(), active.end(), fronts[i]->front) != active.end();
        rig::record().add(fronts[i]->name() + (isActive ? " takes callers" : " takes no callers"));
        if (!isActive || !rig::hasTrouble())
            continue;
        paths[i]->turnAway(true);
        rig::record().add("trouble  the store turns " + fronts[i]->name() + " away");
    }
    rig::sleepUntil(trouble + awayTime);
    for (rig::Path *path : paths)
        path->turnAway(false);
    rig::record().add("trouble  the store turns nobody away any more");
    for (std::thread &thread : threads)
        thread.join();
    std::vector<std::pair<double, Sent>> runs;
    for (rig::Instance *instance : instances) {
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
    rig::record().add("most in 5 s: " + std::to_string(most) + ", allowed "
                      + std::to_string(allowed) + ", from " + std::to_string(mostFrom - trouble)
                      + " s after the trouble began");
    for (const rig::Daemon *front : fronts)
        rig::record().add("of these by " + front->name() + ": "
                          + std::to_string(mostBy[front->front]));
    for (rig::Daemon *front : fronts)
        front->kill(SIGKILL);
    return static_cast<double>(most) > allowed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    _exit(rig::runCase(argc, argv, play));
}
