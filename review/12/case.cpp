/** @file case.cpp An instance leaves just after the connections to the store have gone silent. */
#include "../stand-ins-3/rig.h"

namespace {

constexpr double contact = 3.0; ///< Bound contact: a machine is in touch again so long after it.
constexpr double drain = 2.5;   ///< Bound drain.

int play(const std::string &folder)
{
    const std::string address = rig::ownAddress();
    auto &store = *new rig::Store(address); // Its threads end with the process.
    auto &pathOne = *new rig::Path(address, store.port());
    auto &pathTwo = *new rig::Path(address, store.port());
    store.put("op/config", rig::smallConfiguration());
    std::vector<rig::Instance *> instances;
    for (int i = 1; i <= 4; ++i)
        instances.push_back(new rig::Instance(store, address, "i-" + std::to_string(i),
                                              i <= 2 ? "north-a" : "north-b", 160));
    rig::Daemon one(folder, address, "front-1", "north-a", pathOne.port(), rig::smallBounds());
    rig::Daemon two(folder, address, "front-2", "north-b", pathTwo.port(), rig::smallBounds());
    one.start();
    two.start();
    if (!rig::waitReady({&one, &two}))
        return rig::notRun("the daemons are not ready");
    std::atomic<int> number {0};
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::vector<std::thread> threads;
    const auto book = [&](const rig::Daemon &daemon) {
        threads.emplace_back([&] {
            const std::string id = "b-" + std::to_string(++number);
            {
                const std::lock_guard lock(mutex);
                sentAt[id] = rig::now();
            }
            rig::record().add("sent     " + id + " to " + daemon.name());
            const int status =
                rig::sendOnce(daemon, rig::requestBytes("POST", "/book/x", id, 3000, "slot"));
            rig::record().add("answered " + id + ": " + std::to_string(status));
        });
    };
    const auto bookBoth = [&](double from, double to, double interval) {
        for (double at = from; at < to; at += interval) {
            rig::sleepUntil(at);
            book(one);
            book(two);
        }
    };
    // Bookings until half a second before, then none for some seconds.
    const double silence = rig::now() + 5;
    bookBoth(silence - 3, silence - 0.6, 0.2);
    rig::sleepUntil(silence);
    if (rig::hasTrouble()) {
        pathOne.silenceOpenConnections();
        pathTwo.silenceOpenConnections();
        rig::record().add("trouble  all open connections to the store go silent");
    }
    rig::sleepUntil(silence + 0.1);
    rig::Instance &leaver = *instances.front();
    leaver.leave();
    const double leftAt = rig::now();
    rig::record().add("left     " + leaver.id() + ": the store has removed its entry");
    const double bound = std::max(silence + contact, leftAt + drain);
    bookBoth(bound + 0.05, silence + 6, 0.05);
    for (std::thread &thread : threads)
        thread.join();
    int late = 0;
    for (const auto &run : leaver.runs()) {
        const std::lock_guard lock(mutex);
        if (run.at > leftAt && sentAt.at(run.request) > bound) {
            ++late;
            rig::record().add("late     " + run.request + " was sent "
                              + std::to_string(sentAt.at(run.request) - leftAt) + " s after "
                              + leaver.id() + " had left, "
                              + std::to_string(sentAt.at(run.request) - silence)
                              + " s after the connections went silent");
        }
    }
    rig::record().add("bookings that reached the instance later than drain: "
                      + std::to_string(late));
    one.kill(SIGKILL);
    two.kill(SIGKILL);
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    _exit(rig::runCase(argc, argv, play));
}
