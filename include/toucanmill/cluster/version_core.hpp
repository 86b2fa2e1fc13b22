#ifndef TOUCANMILL_CLUSTER_VERSION_CORE_HPP
#define TOUCANMILL_CLUSTER_VERSION_CORE_HPP

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <toucanmill/base/format_version.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// A control instance or a node, and the formats that it stated lately.
struct version_member
{
  std::string name;
  std::optional<format_support> formats; ///< none: silent, or not heard yet
};

struct version_options
{
  /// The version is raised once all members have supported it, and none has
  /// left, for this time. Exceeds the time in which a member restarts, or is
  /// removed from the group and joins again.
  duration stable_time = std::chrono::seconds(60);
  bool wait_for_all = true; ///< false only to test the effect of waiting
  bool raises =
      true; ///< false: the version stays, and each process can go back
};

/// Names of the members that do not state that they read this version.
std::vector<std::string>
held_back_by(const std::vector<version_member>& members,
             format_version version);

/// Decides on the leader when the format version in force is raised.
class version_core
{
public:
  explicit version_core(version_options options) : options_(options) {}

  /// Starts a leadership term: the stable time begins anew.
  void on_leader();

  /// The version to raise to, if all members have supported a higher one than
  /// `in_force` for the stable time. `newest` is what this build writes.
  std::optional<format_version>
  propose(format_version in_force, format_version newest,
          const std::vector<version_member>& members, time_point now);

private:
  version_options options_;
  std::set<std::string> known_;
  format_version candidate_ = first_format_version;
  std::optional<time_point> since_; ///< all have supported the candidate
};

} // namespace toucanmill

#endif
