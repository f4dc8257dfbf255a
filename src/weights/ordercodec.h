#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"

#include "core/failure.h"
#include "http/message.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::weights {

/// The state of one weight set, as reported by the engine itself.
struct EngineReport
{
  core::WeightVersion m_version;
  /// Number of orders that the engine has accepted since its start.
  uint64_t m_acceptedOrderCount = 0;
  /// True while the engine is executing an order.
  bool m_busy = false;
};

/// The sender of an order, and the engine state that it is based on.
struct OrderOrigin
{
  std::string_view m_holder;
  std::string_view m_weightSet;
  /// The engine rejects the order unless it has accepted this many so far.
  std::optional<uint64_t> m_expectedOrderCount;
};

/// The engine has accepted the order and is executing it.
struct OrderAccepted
{};

/// The engine already serves the version.
struct AlreadyServing
{};

/// The engine refused the order, or the order could not be delivered.
struct OrderRefused
{
  core::Failure m_failure;
};

using OrderResponse = std::variant<OrderAccepted, AlreadyServing, OrderRefused>;

/// Encodes orders to engines and decodes their responses.
struct OrderCodec
{
  http::Request (*m_encodeOrder)(const LoadOrder& aOrder,
                                 const OrderOrigin& aOrigin) = nullptr;
  OrderResponse (*m_decodeOrder)(const LoadOrder& aOrder,
                                 const http::Response& aResponse) = nullptr;
  /// Null if engines send reports without being polled.
  http::Request (*m_encodeReport)(const core::UpstreamId& aEngine) = nullptr;
  absl::StatusOr<EngineReport> (*m_decodeReport)(
    std::string_view aWeightSet,
    const http::Response& aResponse) = nullptr;
};

/// Replaces the default encoding. Must be constructed before main runs.
struct OrderCodecRegistration
{
  explicit OrderCodecRegistration(const OrderCodec& aCodec);
};

/// Returns the registered codec, or the default one.
const OrderCodec&
CodecInUse();

} // namespace heatherdeal::weights
