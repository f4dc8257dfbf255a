#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "usage/countsending.h"

namespace heatherdeal::usage {

// The encodings of what hosts of this system send each other and store. The
// decoders return InvalidInput if the bytes are malformed or exceed a limit.

/// Binary encoding of a host's counts.
std::string
EncodeCounts(const CountMessage& aMessage);
absl::StatusOr<CountMessage>
DecodeCounts(std::string_view aBytes);

/// JSON encoding of the holder's answer.
std::string
EncodeReceipt(const CountReceipt& aReceipt);
absl::StatusOr<CountReceipt>
DecodeReceipt(std::string_view aText);

/// Binary encoding of the gossiped holder.
std::string
EncodeHolder(const Holder& aHolder);
absl::StatusOr<Holder>
DecodeHolder(std::string_view aBytes);

/// JSON encoding of a stored content.
std::string
EncodeContent(const CustomerCounts& aCounts);
absl::StatusOr<CustomerCounts>
DecodeContent(std::string_view aText);

} // namespace heatherdeal::usage
