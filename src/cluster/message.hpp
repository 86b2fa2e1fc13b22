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

inline capnp::Data::Reader octets(const std::string& value)
{
  return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

inline std::string octets_of(capnp::Data::Reader value)
{
  return {value.asChars().begin(), value.size()};
}

inline std::string to_octets(capnp::MessageBuilder& message)
{
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {bytes.asChars().begin(), bytes.size()};
}

/// Reads the root of a message with `read`, which returns result<Value>.
/// Errors: corrupt_data, also for what the library reports by an exception.
template <class Root, class Value, class Read>
result<Value> from_octets(const std::string& bytes, Read read)
{
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    return error{error_code::corrupt_data,
                 "a message has " + std::to_string(bytes.size()) + " octets"};
  // The library needs aligned words, which a string does not promise.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  capnp::ReaderOptions options;
  // Large snapshots exceed the default; the data is local and bounded.
  options.traversalLimitInWords = UINT64_MAX;
  result<Value> value =
      error{error_code::corrupt_data, "a message cannot be read"};
  const auto failure = kj::runCatchingExceptions(
      [&]
      {
        capnp::FlatArrayMessageReader reader(words, options);
        value = read(reader.getRoot<Root>());
      });
  KJ_IF_MAYBE (exception, failure)
    return error{error_code::corrupt_data,
                 "a message cannot be read: " +
                     std::string(exception->getDescription().cStr())};
  return value;
}

} // namespace toucanmill::detail

#endif
