#ifndef TOUCANMILL_CLUSTER_MESSAGE_HPP
#define TOUCANMILL_CLUSTER_MESSAGE_HPP

#include <cstring>
#include <string>

#include <capnp/blob.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <toucanmill/base/outcome.hpp>

namespace toucanmill::detail
{

/// View of a string; valid as long as the string.
inline capnp::Data::Reader data_reader(const std::string& value)
{
  return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

inline std::string copy_data(capnp::Data::Reader value)
{
  return {value.asChars().begin(), value.size()};
}

inline std::string serialize(capnp::MessageBuilder& message)
{
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {bytes.asChars().begin(), bytes.size()};
}

/// Deserializes a message and converts its root with `read`, which returns
/// result<Value>. Errors: corrupt_data, also for exceptions of Cap'n Proto.
template <class Root, class Value, class Read>
result<Value> deserialize(const std::string& bytes, Read read)
{
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    return error{error_code::corrupt_data,
                 "message size of " + std::to_string(bytes.size()) +
                     " octets is not a positive multiple of 8"};
  // Cap'n Proto needs aligned words; a string does not guarantee alignment.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  capnp::ReaderOptions options;
  // Large snapshots exceed the default limit, which protects against hostile
  // messages; this data is local and bounded.
  options.traversalLimitInWords = UINT64_MAX;
  result<Value> value =
      error{error_code::corrupt_data, "cannot decode message"};
  const auto failure = kj::runCatchingExceptions(
      [&]
      {
        capnp::FlatArrayMessageReader reader(words, options);
        value = read(reader.getRoot<Root>());
      });
  KJ_IF_MAYBE (exception, failure)
    return error{error_code::corrupt_data,
                 "cannot decode message: " +
                     std::string(exception->getDescription().cStr())};
  return value;
}

} // namespace toucanmill::detail

#endif
