/** @file case.cpp One spoilt answer of one instance ends the process that reads it. */
#include "rig.h"

using namespace rig;

namespace {

/** Instances of the service with the faulty one, which is then 0.33 of them. */
constexpr int crewDesks = 3;
/** Good answers of the faulty instance before the spoilt one, which is then below 2%. */
constexpr int goodAnswers = 60;
/** Limit of the requests for the good answers, and of those until the spoilt one. */
constexpr int maxReads = 1500;
/** Bytes of the trailer field in the spoilt answer. */
constexpr std::size_t trailerBytes = 70'000;
/** Clients with a booking under way. */
constexpr int clients = 8;

/** A chunked answer whose trailer section holds one long field. */
std::string spoiltAnswer(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nTeaselreach-Attempt-Id: " + request.field("teaselreach-attempt-id")
        + "\r\nTeaselreach-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nhello\r\n0\r\nX-Noise: "
        + std::string(trailerBytes, 'a') + "\r\n\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        finish(notRun);
    std::signal(SIGPIPE, SIG_IGN);
    sinceStart();
    Record record(argv[1]);
    const bool trouble = withTrouble();
    const std::string &folder = temporaryFolder();
    Store store(loopback(1), record);
    std::vector<std::unique_ptr<Instance>> desks;
    for (int i = 0; i < 4; ++i) {
        desks.push_back(std::make_unique<Instance>(loopback(10 + i), "i-slot" + std::to_string(i),
                                                   "slot-desk", "dakar-plateau", milliseconds(400),
                                                   record));
        desks.back()->registerAt(store);
    }
    std::vector<std::unique_ptr<Instance>> crew;
    for (int i = 0; i < crewDesks; ++i) {
        crew.push_back(std::make_unique<Instance>(loopback(20 + i), "i-crew" + std::to_string(i),
                                                  "crew-desk", "dakar-plateau", milliseconds(2),
                                                  record));
        crew.back()->registerAt(store);
    }
    Instance &faulty = *crew.front();
    store.put(
        "op/config",
        configuration(7,
                      json::array({route("r-book", "/book/", false, "slot-desk", "1500ms"),
                                   route("r-roster", "/roster/", true, "crew-desk", "3000ms")}),
                      json::array()));
    Daemon daemon("front-dakar-plateau-1", loopback(2), "dakar-plateau", store.endpoint(), folder,
                  record);
    daemon.start();
    if (!daemon.waitReady(milliseconds(10'000)))
        finish(notRun);
    std::this_thread::sleep_for(milliseconds(4000)); // The machine is in touch after 3 s.

    Client reader(daemon, record);
    for (int i = 0; i < maxReads && faulty.runCount() < goodAnswers; ++i) {
        if (reader.send("GET", "/roster/week", "good-" + std::to_string(i)).status != "200")
            finish(notRun);
    }
    if (faulty.runCount() < goodAnswers)
        finish(notRun);
    // Every booking client keeps its connection and has had an answer on it.
    std::vector<std::unique_ptr<Client>> bookers;
    for (int i = 0; i < clients; ++i) {
        bookers.push_back(std::make_unique<Client>(daemon, record));
        if (bookers.back()->send("POST", "/book/x", "first-" + std::to_string(i), "b").status
            != "200")
            finish(notRun);
    }
    std::vector<std::thread> threads;
    std::vector<Outcome> outcomes(clients);
    for (int i = 0; i < clients; ++i)
        threads.emplace_back([&, i] {
            outcomes[static_cast<std::size_t>(i)] = bookers[static_cast<std::size_t>(i)]->send(
                "POST", "/book/x", "second-" + std::to_string(i), "b");
        });
    std::this_thread::sleep_for(milliseconds(150));
    std::atomic<bool> spoilt {false};
    if (trouble) {
        faulty.setBehaviour([&](Instance &self, int fd, const Message &request, int) {
            self.runs(request.field("teaselreach-attempt-id"));
            if (spoilt.exchange(true))
                return sendAll(fd, self.okAnswer(request));
            self.record().line("spoilt   " + request.field("teaselreach-attempt-id"));
            return sendAll(fd, spoiltAnswer(request));
        });
    }
    for (int i = 0; i < 20 && !spoilt; ++i)
        reader.send("GET", "/roster/week", "read-" + std::to_string(i));
    for (std::thread &thread : threads)
        thread.join();
    int lost = 0;
    for (int i = 0; i < clients; ++i) {
        int runs = 0;
        for (const auto &desk : desks)
            runs += desk->runsOf("second-" + std::to_string(i));
        lost += runs > 0 && outcomes[static_cast<std::size_t>(i)].status.empty() ? 1 : 0;
    }
    std::this_thread::sleep_for(milliseconds(200));
    const bool alive = daemon.running();
    record.line("result   process " + std::string(alive ? "runs" : "ended: " + daemon.exitText())
                + ", bookings passed on and closed without an answer: " + std::to_string(lost)
                + " of " + std::to_string(clients));
    if (trouble && !spoilt)
        finish(notRun);
    finish(lost > 3 ? broken : held);
}
