#ifndef TOUCANMILL_SRC_CLUSTER_FORMER_MARKS_TEST_HPP
#define TOUCANMILL_SRC_CLUSTER_FORMER_MARKS_TEST_HPP

#include <string>

#include <capnp/message.h>
#include <state.capnp.h>

#include "message.hpp"

namespace toucanmill::support
{

/// The snapshot as builds wrote it that mark no list of former services.
inline std::string without_former_marks(const std::string& snapshot)
{
  const auto rewritten = detail::deserialize<schema::Snapshot, std::string>(
      snapshot,
      [](schema::Snapshot::Reader from) -> result<std::string>
      {
        capnp::MallocMessageBuilder message;
        message.setRoot(from);
        for (auto item :
             message.getRoot<schema::Snapshot>().getDeclared().getRoutes())
        {
          item.setFormerIncomplete(false);
          item.setFormerMarked(false);
        }
        return detail::serialize(message);
      });
  return rewritten.value();
}

} // namespace toucanmill::support

#endif
