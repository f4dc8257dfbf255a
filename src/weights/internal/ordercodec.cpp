#include "weights/ordercodec.h"

#include "boost/json/serialize.hpp"

#include "kernel/codecregistry.h"

namespace heatherdeal::weights {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kConflict = 409;

http::Request
EncodeOrder(const LoadOrder& aOrder, const OrderOrigin&)
{
  const boost::json::value body{ { "kind", "load" },
                                 { "version", aOrder.m_version.m_number },
                                 { "fence", aOrder.m_fence } };
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/v1/orders";
  request.m_body = boost::json::serialize(body);
  return request;
}

OrderResponse
DecodeOrder(const LoadOrder& aOrder, const http::Response& aResponse)
{
  if (aResponse.m_head.m_status == kOk) {
    return OrderAccepted{};
  }
  if (aResponse.m_head.m_status == kConflict) {
    return OrderRefused{ core::FenceRejected{ aOrder.m_fence } };
  }
  return OrderRefused{ core::PeerRefused{ aOrder.m_engine.m_value,
                                          aResponse.m_head.m_status,
                                          core::Executed::Unknown } };
}

const OrderCodec kDefaultCodec{
  .m_encodeOrder = EncodeOrder,
  .m_decodeOrder = DecodeOrder,
  .m_encodeReport = nullptr,
  .m_decodeReport = nullptr,
};

} // namespace

OrderCodecRegistration::OrderCodecRegistration(const OrderCodec& aCodec)
{
  kernel::CodecRegistry<OrderCodec>::Register(aCodec);
}

const OrderCodec&
CodecInUse()
{
  return kernel::CodecRegistry<OrderCodec>::GetOrDefault(kDefaultCodec);
}

} // namespace heatherdeal::weights
