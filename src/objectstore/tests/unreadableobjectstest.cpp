#include "objectstore/internal/unreadableobjects.h"

#include "catch2/catch.hpp"

#include "http/tests/loopback.h"

namespace heatherdeal::objectstore {

// Guards against a log line at each try for an entry that stays unreadable.
TEST_CASE("an object that can't be read is reported once while that lasts")
{
  http::Loopback loopback{ http::AnyPort() };
  kernel::Context& context = loopback.Kernel();
  UnreadableObjects unreadable(context, "servers");
  const auto reports = [&context] {
    return context.Metrics()
      .Get("objectstore.unreadable_objects")
      .m_value.load();
  };
  ObjectList bad;
  bad.m_objects = { { { "servers", "a" }, 5, "" } };
  bad.m_unreadable = { { "a", 5 }, { "", 0 } };
  unreadable.Report(bad);
  CHECK(reports() == 2);
  bad.m_unreadable = { { "a", 6 }, { "", 0 } };
  unreadable.Report(bad);
  CHECK(reports() == 2);
  SECTION("again after it was readable")
  {
    ObjectList good;
    good.m_objects = { { { "servers", "a" }, 7, "v" } };
    unreadable.Report(good);
    unreadable.Report(bad);
    CHECK(reports() == 3);
  }
  SECTION("again after it was removed")
  {
    ObjectList removed;
    removed.m_removedNames = { "a" };
    unreadable.Report(removed);
    unreadable.Report(bad);
    CHECK(reports() == 3);
  }
}

} // namespace heatherdeal::objectstore
