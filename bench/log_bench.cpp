// Measures the replicated log on the disk of the folder given as the only
// argument: appends and fsync cost, snapshot write and restore, election time.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../src/log/log_store.hpp"
#include <toucanmill/log/replicated_log.hpp>

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

using clock_type = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int runs = 5;
constexpr int election_runs = 20;
constexpr std::size_t command_bytes = 200;
constexpr auto append_time = 2s;

double milliseconds_since(clock_type::time_point start)
{
  return std::chrono::duration<double, std::milli>(clock_type::now() - start)
      .count();
}

void report(const std::string& name, std::vector<double> values,
            const char* unit)
{
  std::sort(values.begin(), values.end());
  std::printf("%-34s median %10.2f  min %10.2f  max %10.2f  %s  (%zu runs)\n",
              name.c_str(), values[values.size() / 2], values.front(),
              values.back(), unit, values.size());
  std::fflush(stdout);
}

/// Client without a state; delivers messages to other logs of the process.
class bench_client : public log_client
{
public:
  std::string apply(const log_entry&) override
  {
    return {};
  }
  std::string snapshot() override
  {
    return {};
  }
  result<void> restore(table_version, const std::string&) override
  {
    return outcome::success();
  }
  void on_leadership(bool leads, std::uint64_t) override
  {
    leads_ = leads;
  }
  void on_tick(time_point) override {}
  void send(const replica_address& to, std::string message) override
  {
    if (send_)
      send_(to, std::move(message));
  }

  std::atomic<bool> leads_{false};
  std::function<void(const replica_address&, std::string)> send_;
};

/// Logs of one process with an in-memory transport.
class bench_group
{
public:
  bench_group(const std::string& folder, std::uint64_t size) : folder_(folder)
  {
    std::filesystem::remove_all(folder_);
    for (std::uint64_t id = 1; id <= size; ++id)
      members_.push_back({replica_id{id},
                          {ipv4_address{1}, static_cast<std::uint16_t>(id)},
                          true});
    for (const auto& member : members_)
      start(member.id.value);
  }
  ~bench_group()
  {
    for (const auto& member : members_)
      stop(member.id.value);
    std::filesystem::remove_all(folder_);
  }

  void start(std::uint64_t id)
  {
    replicated_log_options options;
    options.self = replica_id{id};
    options.folder = folder_ + "/" + std::to_string(id);
    options.initial_group = members_;
    clients_[id] = std::make_unique<bench_client>();
    clients_[id]->send_ = [this](const replica_address& to, std::string message)
    {
      if (const auto target = log(to.id.value))
        target->receive(std::move(message));
    };
    auto opened = replicated_log::open(options, *clients_[id]);
    if (!opened)
    {
      std::fprintf(stderr, "%s\n", opened.error().message.c_str());
      std::exit(1);
    }
    const std::lock_guard lock(mutex_);
    logs_[id] = std::move(opened.value());
  }
  void stop(std::uint64_t id)
  {
    std::shared_ptr<replicated_log> log;
    {
      const std::lock_guard lock(mutex_);
      log = std::exchange(logs_[id], nullptr);
    }
    if (log)
      log->stop();
    clients_[id]->leads_ = false;
  }
  std::shared_ptr<replicated_log> log(std::uint64_t id)
  {
    const std::lock_guard lock(mutex_);
    return logs_[id];
  }
  std::uint64_t leader()
  {
    for (;; std::this_thread::sleep_for(200us))
      for (const auto& [id, client] : clients_)
        if (client->leads_)
          return id;
  }

private:
  std::string folder_;
  std::vector<replica_address> members_;
  std::mutex mutex_;
  std::map<std::uint64_t, std::shared_ptr<replicated_log>> logs_;
  std::map<std::uint64_t, std::unique_ptr<bench_client>> clients_;
};

/// Keeps a number of proposals in progress; counts the outcomes.
class proposer
{
public:
  proposer(replicated_log& log, int concurrency) : log_(log)
  {
    for (int i = 0; i < concurrency; ++i)
      propose();
  }
  std::uint64_t finish()
  {
    stopping_ = true;
    while (in_progress_ != 0)
      std::this_thread::sleep_for(100us);
    return done_;
  }
  std::uint64_t done() const
  {
    return done_;
  }

private:
  void propose()
  {
    ++in_progress_;
    log_.propose(std::string(command_bytes, 'x'),
                 [this](const result<std::string>& outcome)
                 {
                   done_ += outcome ? 1 : 0;
                   if (!stopping_)
                     propose();
                   --in_progress_;
                 });
  }

  replicated_log& log_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> in_progress_{0};
  std::atomic<std::uint64_t> done_{0};
};

void measure_appends(const std::string& folder, std::uint64_t size,
                     int concurrency)
{
  std::vector<double> rates;
  for (int run = 0; run < runs; ++run)
  {
    bench_group group(folder, size);
    proposer load(*group.log(group.leader()), concurrency);
    const auto start = clock_type::now();
    std::this_thread::sleep_for(append_time);
    rates.push_back(static_cast<double>(load.done()) * 1000 /
                    milliseconds_since(start));
    load.finish();
  }
  report("appends, " + std::to_string(size) + " instances, " +
             std::to_string(concurrency) + " concurrent",
         rates, "per s");
}

void measure_sync(const std::string& folder)
{
  std::filesystem::create_directories(folder);
  const auto files = make_posix_file_system();
  std::vector<double> times;
  {
    auto file = files->open(folder + "/sync");
    for (int i = 0; i < 1000; ++i)
    {
      std::string command(command_bytes, 'x');
      if (!append_from(*file.value(), command))
        std::exit(1);
      const auto start = clock_type::now();
      if (!file.value()->sync())
        std::exit(1);
      times.push_back(milliseconds_since(start));
    }
  }
  report("fdatasync after 200 bytes", times, "ms");
  std::filesystem::remove_all(folder);
}

void measure_snapshot(const std::string& folder, std::size_t megabytes)
{
  std::vector<double> writes;
  std::vector<double> parts;
  std::vector<double> loads;
  const std::string data(megabytes * 1000 * 1000, 's');
  const auto files = make_posix_file_system();
  for (int run = 0; run < runs; ++run)
  {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    snapshot_files snapshots(*files, folder);
    auto start = clock_type::now();
    snapshots.begin({{1, 1}, {}, data.size()}, data);
    double longest = 0;
    while (snapshots.in_progress())
    {
      const auto part = clock_type::now();
      if (!snapshots.step())
        std::exit(1);
      longest = std::max(longest, milliseconds_since(part));
    }
    writes.push_back(milliseconds_since(start));
    parts.push_back(longest);
    start = clock_type::now();
    const auto loaded = snapshots.load();
    if (!loaded || loaded.value()->data.size() != data.size())
      std::exit(1);
    loads.push_back(milliseconds_since(start));
  }
  const auto name = std::to_string(megabytes) + " MB";
  report("snapshot write, " + name, writes, "ms");
  report("longest part of a write, " + name, parts, "ms");
  report("snapshot restore, " + name, loads, "ms");
  std::filesystem::remove_all(folder);
}

// From the stop of the leader's thread to on_leadership() of the next one. The
// leader stops without handing over.
void measure_election(const std::string& folder)
{
  std::vector<double> times;
  bench_group group(folder, 3);
  std::this_thread::sleep_for(1s);
  for (int run = 0; run < election_runs; ++run)
  {
    const auto old = group.leader();
    const auto start = clock_type::now();
    group.stop(old);
    group.leader();
    times.push_back(milliseconds_since(start));
    group.start(old);
    std::this_thread::sleep_for(1s);
  }
  report("time to elect, 3 instances", times, "ms");
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 2)
  {
    std::fprintf(stderr, "usage: log_bench FOLDER\n");
    return 2;
  }
  const std::string folder = argv[1];
  std::printf("command of %zu bytes, %d runs of %lld s for appends\n",
              command_bytes, runs, static_cast<long long>(append_time.count()));
  measure_sync(folder + "/sync");
  for (const std::uint64_t size : {1, 3})
    for (const int concurrency : {1, 16, 256})
      measure_appends(folder + "/appends", size, concurrency);
  for (const std::size_t megabytes : {1, 10, 100})
    measure_snapshot(folder + "/snapshots", megabytes);
  measure_election(folder + "/election");
}
