#include "customers/keyindex.h"

namespace heatherdeal::customers {

void
KeyIndex::Add(const KeyDigest& aDigest, const core::CustomerId& aCustomer)
{
  m_customers[aDigest] = aCustomer;
}

const core::CustomerId*
KeyIndex::Find(const KeyDigest& aDigest) const
{
  const auto found = m_customers.find(aDigest);
  return found == m_customers.end() ? nullptr : &found->second;
}

} // namespace heatherdeal::customers
