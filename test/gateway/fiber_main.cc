#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>

// Defined by the test module; Boost.Test gives the name.
// NOLINTNEXTLINE(readability-identifier-naming)
bool init_unit_test();

// The end of the thread would wait for fibers that never end.
int main(int argc, char** argv) {
  const int code =
      boost::unit_test::unit_test_main(&init_unit_test, argc, argv);
  std::fflush(nullptr);
  std::_Exit(code);
}
