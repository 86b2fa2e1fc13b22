#include <toucanmill/control/control_state.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <toucanmill/base/clock.hpp>

using namespace toucanmill;

namespace
{

using namespace std::chrono_literals;

constexpr format_support old_build{1, 1, 0};

/// Leader's log with this instance and one member; commits at once.
class committing_log final : public replicated_log
{
public:
  void propose(std::string command, outcome_callback done) override
  {
    done(client->apply({{1, ++index}, entry_kind::command, command}));
  }
  void confirm_read(read_callback) override {}
  void post(std::function<void()>) override {}
  void receive(std::string) override {}
  void change_group(std::vector<replica_address>, outcome_callback) override {}
  void transfer_leadership() override {}
  replicated_log_status status() const override
  {
    return state;
  }
  void stop() override {}

  control_state* client = nullptr;
  std::uint64_t index = 0;
  replicated_log_status state;
};

node_report report_of(const format_support& formats, bool observes = false)
{
  node_report report;
  report.identity.id = {7};
  report.identity.life = {1};
  report.identity.name = "balancer-7";
  report.identity.data_centre = "north";
  report.identity.data = {{7}, 8000};
  report.formats = formats;
  report.observes = observes;
  return report;
}

} // namespace

TEST_GROUP(upgrade)
{
  std::vector<std::pair<control_notice::kind, std::string>> notices;
  committing_log log;
  std::unique_ptr<control_state> state;
  time_point now = monotonic_now();

  void setup() override
  {
    control_state_options options;
    options.notify = [this](const control_notice& value)
    {
      notices.emplace_back(value.what, value.detail);
    };
    state = std::make_unique<control_state>(std::move(options));
    log.client = state.get();
    log.state.self = {1};
    log.state.group = {{{1}, {}, true}, {{2}, {}, false}};
    log.state.formats = {{{1}, this_build()}, {{2}, this_build()}};
    log.state.contact_ages = {{{2}, 0ms}};
    state->attach(log);
    state->on_leadership(true, 1);
  }

  void run(duration time, const node_report& report)
  {
    for (const auto end = now + time; now < end; now += 250ms)
    {
      state->on_report(report, now);
      state->on_tick(now);
    }
  }

  std::size_t count(control_notice::kind what) const
  {
    return static_cast<std::size_t>(std::count_if(notices.begin(),
                                                  notices.end(),
                                                  [&](const auto& item)
                                                  {
                                                    return item.first == what;
                                                  }));
  }
};

// Guards against a raise while a member or node is of the earlier build, is
// silent, or only receives the table.
TEST(upgrade, version_is_raised_once_everybody_reads_it)
{
  run(90s, report_of(old_build));
  CHECK_TRUE(state->view(now).held_back_by ==
             std::vector<std::string>{"balancer-7"});
  log.state.formats.pop_back();
  run(90s, report_of(this_build()));
  log.state.formats.push_back({{2}, this_build()});
  log.state.contact_ages[0].age = 1s;
  run(90s, report_of(this_build()));
  CHECK_TRUE(state->view(now).held_back_by ==
             std::vector<std::string>{"control 2"});
  CHECK_EQUAL(1, state->required_format());
  log.state.contact_ages[0].age = 0ms;
  run(50s, report_of(this_build()));
  CHECK_EQUAL(1, state->required_format());
  run(15s, report_of(this_build()));
  CHECK_EQUAL(2, state->required_format());
  CHECK_EQUAL(1U, count(control_notice::kind::version_raised));
  run(1s, report_of(old_build));
  CHECK_TRUE(state->view(now).held_back_by.empty());
}

// Guards against an observer of the earlier build that is overlooked.
TEST(upgrade, sender_that_is_no_node_yet_holds_the_version_back)
{
  run(90s, report_of(old_build, true));
  CHECK_EQUAL(1, state->required_format());
}

// Guards against a node or instance that gets what its build can't read, and
// against one log line for each of its reports.
TEST(upgrade, older_builds_are_refused_after_the_raise_only)
{
  CHECK_FALSE(state->refuse_build("control 3", old_build).has_value());
  CHECK_FALSE(state->on_report(report_of(old_build), now).refusal.has_value());
  log.propose(encode(raise_version{2}), [](const result<std::string>&) {});
  run(60s, report_of(old_build));
  const auto refused = state->on_report(report_of(old_build), now).refusal;
  CHECK_TRUE(refused->message ==
             "balancer-7 is refused: build unknown, formats 1 to 1, but format "
             "version 2 is in force");
  CHECK_EQUAL(1U, count(control_notice::kind::build_refused));
  CHECK_TRUE(state->view(now).nodes.at(0).state == node_state::suspect);
  CHECK_TRUE(state->refuse_build("control 3", old_build).has_value());
  run(1s, report_of(this_build()));
  CHECK_TRUE(state->view(now).nodes.at(0).state == node_state::active);
}

// Guards against an entry of a newer build that ends the process, is skipped or
// is followed by others.
TEST(upgrade, nothing_is_applied_after_an_entry_that_is_not_understood)
{
  log.propose(encode(raise_version{3}), [](const result<std::string>&) {});
  CHECK_TRUE(state->failure()->message.find("entry 1 raises the format version "
                                            "to 3; this is build") == 0);
  log.propose(encode(raise_version{2}), [](const result<std::string>&) {});
  CHECK_EQUAL(1, state->required_format());
  CHECK_EQUAL(1U, count(control_notice::kind::halted));

  control_state_options options;
  options.notify = [](const control_notice&) {};
  control_state other(std::move(options));
  CHECK_TRUE(other.apply({{1, 1}, entry_kind::command, "12345678"}).empty());
  CHECK_TRUE(other.failure()->message.find("entry 1: ") == 0);
}
