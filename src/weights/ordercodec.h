#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"

#include "core/failure.h"
#include "http/message.h"
#include "weights/wave.h"

namespace heatherdeal::weights {

/// What an engine's own report says of one set of weights.
struct EngineReport
{
  core::WeightVersion m_version;
  /// Orders that it has accepted since its start.
  uint64_t m_orders = 0;
  /// An order is being carried out.
  bool m_busy = false;
};

/// Who gives an order, and what it rests on.
struct OrderOrigin
{
  std::string_view m_holder;
  std::string_view m_weights;
  /// Orders that the engine must have accepted so far.
  std::optional<uint64_t> m_expectedOrders;
};

/// The order is being carried out.
struct OrderTaken
{};

/// The engine serves the version already.
struct OrderHolds
{};

struct OrderRefused
{
  core::Failure m_failure;
};

using OrderAnswer = std::variant<OrderTaken, OrderHolds, OrderRefused>;

/// How orders to engines are encoded.
struct OrderCodec
{
  http::Request (*m_encodeOrder)(const OrderLoad& aOrder,
                                 const OrderOrigin& aOrigin) = nullptr;
  OrderAnswer (*m_decodeOrder)(const OrderLoad& aOrder,
                               const http::Response& aAnswer) = nullptr;
  /// Null: engines report by themselves.
  http::Request (*m_encodeReport)(const core::UpstreamId& aEngine) = nullptr;
  absl::StatusOr<EngineReport> (*m_decodeReport)(
    std::string_view aWeights,
    const http::Response& aAnswer) = nullptr;
};

/// Registers another encoding than the own one before main.
struct OrderCodecRegistration
{
  explicit OrderCodecRegistration(const OrderCodec& aCodec);
};

const OrderCodec&
CodecInUse();

} // namespace heatherdeal::weights
