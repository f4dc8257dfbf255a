#include "configuration/customer.h"

#include <map>
#include <set>
#include <string_view>

namespace heatherdeal::configuration {

namespace {

using Errors = std::vector<core::InvalidSetting>;

std::string
CustomerPath(size_t aIndex)
{
  return "$.customers[" + std::to_string(aIndex) + "].";
}

void
ValidateNames(std::span<const Customer> aCustomers, Errors& aErrors)
{
  std::set<std::string_view> names;
  for (size_t i = 0; i < aCustomers.size(); ++i) {
    const std::string& name = aCustomers[i].m_name.m_value;
    if (name.empty()) {
      aErrors.push_back({ CustomerPath(i) + "name", name, "a non-empty name" });
    } else if (!names.insert(name).second) {
      aErrors.push_back({ CustomerPath(i) + "name", name, "a unique name" });
    }
  }
}

/// Describes the other use of a key that occurs twice.
std::string
DescribeExpectedKey(const Customer& aOwner, const Customer& aOtherOwner)
{
  if (&aOwner == &aOtherOwner) {
    return "a key that the customer does not list twice";
  }
  return "a key that does not belong to customer " + aOwner.m_name.m_value;
}

void
ValidateKeys(std::span<const Customer> aCustomers, Errors& aErrors)
{
  std::map<std::string_view, const Customer*> owners;
  for (size_t i = 0; i < aCustomers.size(); ++i) {
    const Customer& customer = aCustomers[i];
    for (size_t k = 0; k < customer.m_keys.size(); ++k) {
      const std::string path =
        CustomerPath(i) + "keys[" + std::to_string(k) + "]";
      const std::string& key = customer.m_keys[k];
      if (key.empty()) {
        aErrors.push_back(
          { path, std::string(kHiddenValue), "a non-empty key" });
        continue;
      }
      const auto [owner, isNew] = owners.emplace(key, &customer);
      if (!isNew) {
        aErrors.push_back({ path,
                            std::string(kHiddenValue),
                            DescribeExpectedKey(*owner->second, customer) });
      }
    }
  }
}

} // namespace

std::vector<core::InvalidSetting>
ValidateRequirements(std::span<const Customer> aCustomers,
                     const DocumentRequirements& aRequirements)
{
  if (aRequirements.m_needsCustomers && aCustomers.empty()) {
    return { { "$.customers", "[]", "at least one customer" } };
  }
  return {};
}

std::vector<core::InvalidSetting>
ValidateCustomers(std::span<const Customer> aCustomers)
{
  Errors errors;
  ValidateNames(aCustomers, errors);
  ValidateKeys(aCustomers, errors);
  return errors;
}

} // namespace heatherdeal::configuration
