#include "configuration/internal/customerjson.h"

#include "boost/json/array.hpp"

namespace heatherdeal::configuration {

namespace {

constexpr kernel::Range kPriorityRange{ 0, 1000 };

} // namespace

Customer
ParseCustomer(kernel::SettingsReader& aReader)
{
  Customer customer;
  customer.m_name.m_value = aReader.TextOr("name", "");
  customer.m_keys = aReader.OptionalTexts("keys");
  if (aReader.OptionalValue("priority") != nullptr) {
    customer.m_priority =
      static_cast<uint32_t>(aReader.Integer("priority", kPriorityRange));
  }
  return customer;
}

boost::json::object
ToObject(const Customer& aCustomer)
{
  boost::json::array keys;
  for (const std::string& key : aCustomer.m_keys) {
    keys.emplace_back(key);
  }
  boost::json::object object{ { "name", aCustomer.m_name.m_value },
                              { "keys", std::move(keys) } };
  if (aCustomer.m_priority) {
    object["priority"] = *aCustomer.m_priority;
  }
  return object;
}

} // namespace heatherdeal::configuration
