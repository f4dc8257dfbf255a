#pragma once

#include <functional>
#include <memory>
#include <string>

#include "boost/asio/awaitable.hpp"

#include "http/client.h"
#include "lease/actpermission.h"
#include "usage/reporting.h"
#include "usage/usagecodec.h"

namespace heatherdeal::usage {

/// A report on its way to the service.
struct ReportTask
{
  SendReport m_report;
  core::Endpoint m_service;
  std::string m_holder;
  std::shared_ptr<const lease::ActPermission> m_permission;
};

/// Sends the report, unless its permission has expired by then, and returns the
/// response of the service.
boost::asio::awaitable<ReportResponse>
DeliverReport(http::Client& aClient, const ReportTask& aTask);

} // namespace heatherdeal::usage
