#ifndef TOUCANMILL_SRC_LOG_LOG_BUFFER_HPP
#define TOUCANMILL_SRC_LOG_LOG_BUFFER_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include <toucanmill/base/invariant.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill::log_detail
{

/// In-memory log entries with consecutive indexes after a base position: that
/// of the last entry removed by compaction or covered by an installed snapshot.
class log_buffer
{
public:
  const table_version& base() const
  {
    return base_;
  }
  table_version last() const
  {
    return entries_.empty() ? base_ : entries_.back().position;
  }
  /// Term of the base or of an entry; nullopt for any other index.
  std::optional<std::uint64_t> term_at(std::uint64_t index) const
  {
    if (index == base_.index)
      return base_.term;
    if (index < base_.index || index > last().index)
      return std::nullopt;
    return at(index).position.term;
  }
  const log_entry& at(std::uint64_t index) const
  {
    TOUCANMILL_INVARIANT(index > base_.index && index <= last().index,
                         "log index out of range");
    return entries_[index - base_.index - 1];
  }
  /// Payload octets of the entries after an index.
  std::uint64_t octets_after(std::uint64_t index) const
  {
    std::uint64_t octets = 0;
    for (auto it = entries_.rbegin();
         it != entries_.rend() && it->position.index > index; ++it)
      octets += it->payload.size();
    return octets;
  }
  void append(log_entry entry)
  {
    TOUCANMILL_INVARIANT(entry.position.index == last().index + 1,
                         "log entries are not consecutive");
    entries_.push_back(std::move(entry));
  }
  /// Removes the entry at the index and all later ones.
  void truncate_from(std::uint64_t index)
  {
    while (!entries_.empty() && entries_.back().position.index >= index)
      entries_.pop_back();
  }
  /// Discards the entries up to and including the index, which becomes the
  /// base.
  void compact_to(std::uint64_t index)
  {
    while (!entries_.empty() && entries_.front().position.index <= index)
    {
      base_ = entries_.front().position;
      entries_.pop_front();
    }
  }
  void reset(const table_version& base)
  {
    entries_.clear();
    base_ = base;
  }

private:
  table_version base_;
  std::deque<log_entry> entries_;
};

} // namespace toucanmill::log_detail

#endif
