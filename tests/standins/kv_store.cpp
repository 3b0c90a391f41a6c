/** @file kv_store.cpp Stand-in for the platform's key-value service. */
#include "standins/kv_store_base.h"

#include <thread>

namespace teaselreach::standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t maxValueBytes = 1'000'000;
// A watch that names a longer wait ends after this time, so that no thread waits without bound.
constexpr std::int64_t maxWaitMs = 60'000;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool validKey(const std::string &key)
{
    return !key.empty()
        && key.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789/_.-") == std::string::npos;
}

Answer failure(int status, const std::string &message)
{
    return jsonAnswer(status, {{"error", message}});
}

Answer conflict(std::uint64_t version)
{
    return jsonAnswer(409, {{"version", version}});
}

} // namespace

KvStore::KvStore(const ListenOptions &listen)
    : server_(listen, [this](const Request &request) { return handle(request); })
{ }

KvStore::~KvStore()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

void KvStore::setFaults(const KvFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    changed_.notify_all();
}

std::map<std::string, std::uint64_t> KvStore::counters() const
{
    const std::lock_guard lock(mutex_);
    return counters_;
}

void KvStore::expireLeases()
{
    const std::lock_guard lock(mutex_);
    for (auto &[id, lease] : leases_)
        lease.end = Clock::time_point::min();
    dropExpired();
}

Answer KvStore::handle(const Request &request)
{
    if (startsWith(request.path, "/admin/"))
        return handleAdmin(request);
    KvFaults faults;
    {
        const std::lock_guard lock(mutex_);
        faults = faults_;
        const auto end = request.path.find('/', 1);
        ++counters_[request.method + " " + request.path.substr(0, end)];
    }
    std::this_thread::sleep_for(faults.delay);
    if (faults.outage)
        return failure(503, "outage");
    Answer answer = dispatch(request);
    answer.lost = faults.loseAnswers && request.method != "GET";
    return answer;
}

Answer KvStore::handleAdmin(const Request &request)
{
    if (request.path == "/admin/counters")
        return jsonAnswer(200, json(counters()));
    if (request.path == "/admin/faults" && request.method == "POST") {
        const json document = json::parse(request.body);
        setFaults({.outage = document.value("outage", false),
                   .delay = milliseconds(document.value("delay_ms", 0)),
                   .loseAnswers = document.value("lose_answers", false)});
        return jsonAnswer(200, document);
    }
    const std::lock_guard lock(mutex_);
    if (request.path == "/admin/snapshot" && request.method == "POST") {
        snapshot_ = contents_;
        return jsonAnswer(200, {{"version", snapshot_.lastVersion}});
    }
    if (request.path == "/admin/restore" && request.method == "POST") {
        contents_ = snapshot_;
        changed_.notify_all();
        return jsonAnswer(200, {{"version", contents_.lastVersion}});
    }
    return failure(404, "unknown path");
}

Answer KvStore::dispatch(const Request &request)
{
    const std::string &path = request.path;
    if (startsWith(path, "/kv/") || startsWith(path, "/watch/")) {
        const std::string key = path.substr(path.find('/', 1) + 1);
        if (!validKey(key))
            return failure(400, "key has characters outside [a-z0-9/_.-]");
        if (startsWith(path, "/watch/"))
            return watch(key, request);
        if (request.method == "GET")
            return get(key);
        if (request.method == "PUT")
            return put(key, request);
        if (request.method == "DELETE")
            return remove(key, request);
    }
    if (request.method == "POST" && path == "/lease")
        return grantLease(request);
    constexpr std::string_view renew = "/renew";
    if (request.method == "POST" && startsWith(path, "/lease/") && path.ends_with(renew))
        return renewLease(path.substr(7, path.size() - 7 - renew.size()));
    return failure(404, "unknown path");
}

Answer KvStore::get(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    dropExpired();
    return current(key);
}

Answer KvStore::put(const std::string &key, const Request &request)
{
    const json document = json::parse(request.body);
    const auto value = document.at("value").get<std::string>();
    const auto expected = document.at("expect_version").get<std::uint64_t>();
    const auto lease = document.value("lease", std::string());
    if (value.size() > maxValueBytes)
        return failure(413, "value over " + std::to_string(maxValueBytes) + " bytes");
    const std::lock_guard lock(mutex_);
    dropExpired();
    if (!lease.empty() && !leases_.contains(lease))
        return failure(404, "lease does not exist");
    if (versionOf(key) != expected)
        return conflict(versionOf(key));
    // Versions come from one counter, so that a key written again after a removal does not get
    // a version that it has had before.
    const std::uint64_t version = ++contents_.lastVersion;
    contents_.entries[key] = {.value = value, .version = version, .lease = lease};
    changed_.notify_all();
    return jsonAnswer(200, {{"version", version}});
}

Answer KvStore::remove(const std::string &key, const Request &request)
{
    const auto expected = static_cast<std::uint64_t>(queryInt(request, "expect_version", 0));
    const std::lock_guard lock(mutex_);
    dropExpired();
    if (!contents_.entries.contains(key))
        return failure(404, "key does not exist");
    if (versionOf(key) != expected)
        return conflict(versionOf(key));
    contents_.entries.erase(key);
    changed_.notify_all();
    return jsonAnswer(200, {{"version", 0}});
}

Answer KvStore::watch(const std::string &key, const Request &request)
{
    const auto after = static_cast<std::uint64_t>(queryInt(request, "after_version", 0));
    const std::int64_t wait = std::min(queryInt(request, "wait_ms", 0), maxWaitMs);
    std::unique_lock lock(mutex_);
    const auto finished = [&] {
        dropExpired();
        return stopping_ || faults_.outage || versionOf(key) > after;
    };
    if (!changed_.wait_for(lock, milliseconds(wait), finished))
        return {.status = 204};
    if (faults_.outage || stopping_)
        return failure(503, "outage");
    return current(key);
}

Answer KvStore::grantLease(const Request &request)
{
    const milliseconds ttl(json::parse(request.body).at("ttl_ms").get<std::int64_t>());
    const std::lock_guard lock(mutex_);
    const std::string id = std::to_string(++lastLease_);
    leases_[id] = {.ttl = ttl, .end = Clock::now() + ttl};
    return jsonAnswer(200, {{"id", id}, {"ttl_ms", ttl.count()}});
}

Answer KvStore::renewLease(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    dropExpired();
    const auto lease = leases_.find(id);
    if (lease == leases_.end())
        return failure(404, "lease does not exist");
    lease->second.end = Clock::now() + lease->second.ttl;
    return jsonAnswer(200, {{"id", id}, {"ttl_ms", lease->second.ttl.count()}});
}

Answer KvStore::current(const std::string &key) const
{
    const auto found = contents_.entries.find(key);
    if (found == contents_.entries.end())
        return failure(404, "key does not exist");
    return jsonAnswer(200, {{"value", found->second.value}, {"version", found->second.version}});
}

std::uint64_t KvStore::versionOf(const std::string &key) const
{
    const auto found = contents_.entries.find(key);
    return found == contents_.entries.end() ? 0 : found->second.version;
}

void KvStore::dropExpired()
{
    const auto now = Clock::now();
    std::erase_if(leases_, [&](const auto &item) { return item.second.end <= now; });
    std::erase_if(contents_.entries, [&](const auto &item) {
        return !item.second.lease.empty() && !leases_.contains(item.second.lease);
    });
}

} // namespace teaselreach::standins
