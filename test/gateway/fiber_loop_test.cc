#define BOOST_TEST_MODULE fiber_loop
#include "gateway/fiber_loop.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include "support.h"

namespace pimentospar {
namespace {

using test::Eventually;
using test::Loop;

// An exception that left a fiber ended the process, and with it the requests of
// all other fibers.
BOOST_AUTO_TEST_CASE(ExceptionInAFiberEndsTheProcess) {
  Loop().Spawn([] { throw std::runtime_error("broken"); });
  bool has_run = false;
  Loop().Spawn([&] { has_run = true; });
  BOOST_TEST(Eventually([&] { return has_run; }));
}

// Without its duties, such as reading the configuration, a process would go on
// with what it knows for good.
BOOST_AUTO_TEST_CASE(DutyEndsWithAnException) {
  int runs = 0;
  Loop().SpawnDuty("test", [&] {
    if (++runs < 3) {
      throw std::runtime_error("broken");
    }
  });
  BOOST_TEST(Eventually([&] { return runs == 3; }));
}

}  // namespace
}  // namespace pimentospar
