#include <toucanmill/cluster/version_core.hpp>

#include <algorithm>
#include <utility>

namespace toucanmill
{

namespace
{

/// The highest version up to `newest` that all members read.
format_version common_version(format_version newest,
                              const std::vector<version_member>& members)
{
  auto common = newest;
  for (const auto& member : members)
    common = std::min(common, member.formats.value_or(format_support{}).newest);
  return common;
}

std::set<std::string> names_of(const std::vector<version_member>& members)
{
  std::set<std::string> names;
  for (const auto& member : members)
    names.insert(member.name);
  return names;
}

} // namespace

std::vector<std::string>
held_back_by(const std::vector<version_member>& members, format_version version)
{
  std::vector<std::string> names;
  for (const auto& member : members)
    if (!member.formats || !member.formats->reads(version))
      names.push_back(member.name);
  return names;
}

void version_core::on_leader()
{
  known_.clear();
  since_.reset();
}

std::optional<format_version>
version_core::propose(format_version in_force, format_version newest,
                      const std::vector<version_member>& members,
                      time_point now)
{
  const auto target =
      options_.wait_for_all ? common_version(newest, members) : newest;
  const auto before = std::exchange(known_, names_of(members));
  const bool none_left =
      std::includes(known_.begin(), known_.end(), before.begin(), before.end());
  const bool held_back =
      options_.wait_for_all && !held_back_by(members, target).empty();
  if (!options_.raises || target <= in_force || held_back)
  {
    since_.reset();
    return {};
  }
  if (!since_ || !none_left || candidate_ != target)
    since_ = now;
  candidate_ = target;
  if (options_.wait_for_all && now - *since_ < options_.stable_time)
    return {};
  return target;
}

} // namespace toucanmill
