#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>

// Defined by the test module under the name that Boost.Test prescribes.
// NOLINTNEXTLINE(readability-identifier-naming)
bool init_unit_test();

// Returning would end the thread, which waits for all its fibers, and some of
// them never finish.
int main(int argc, char** argv) {
  const int code =
      boost::unit_test::unit_test_main(&init_unit_test, argc, argv);
  std::fflush(nullptr);
  std::_Exit(code);
}
