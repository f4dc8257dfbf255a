#pragma once

#include <functional>
#include <memory>
#include <string>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "lease/actpermission.h"
#include "weights/rollingupdate.h"

namespace heatherdeal::weights {

/// An order to one engine, with its destination and its sender.
struct OrderTask
{
  LoadOrder m_order;
  core::Endpoint m_engineEndpoint;
  std::string m_holder;
  std::string m_weightSet;
  bool m_checksFencingToken = true;
  std::shared_ptr<const lease::ActPermission> m_permission;
};

/// Receives the outcome of an order, on the traffic thread that sent it.
using OrderCallback = std::function<void(const RollingUpdateEvent&)>;

/// Sends the order, unless its permission has expired by then. If engines have
/// to be polled, waits until the order takes effect. Does not call aDone if the
/// engine reports the version by itself, or if the order's deadline passes.
boost::asio::awaitable<void>
DeliverOrder(http::Client& aClient, OrderTask aTask, OrderCallback aDone);

} // namespace heatherdeal::weights
