#pragma once

#include <set>
#include <string>

#include "kernel/context.h"
#include "objectstore/objectcodec.h"

namespace heatherdeal::objectstore {

/// Counts and logs the objects of a kind that can't be read, each once for as
/// long as that lasts.
class UnreadableObjects
{
public:
  UnreadableObjects(kernel::Context& aContext, std::string aKind);

  void Report(const ObjectList& aList);

private:
  kernel::Context& m_context;
  std::string m_kind;
  /// The names of the objects that were reported and are not known to be
  /// readable or removed since.
  std::set<std::string> m_reported;
};

} // namespace heatherdeal::objectstore
