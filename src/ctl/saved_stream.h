#ifndef SRC_CTL_SAVED_STREAM_H_
#define SRC_CTL_SAVED_STREAM_H_

#include <memory>
#include <string>

#include "control/config_stream.h"

namespace pimentospar::ctl {

/// Opens a file written by `SaveStream`; null if it is none.
std::unique_ptr<ConfigStream> OpenSavedStream(const std::string& path);

/// Returns a client that also writes the pages it reads to a file, one JSON
/// record a line.
std::unique_ptr<ConfigStream> SaveStream(std::unique_ptr<ConfigStream> client,
                                         const std::string& path);

}  // namespace pimentospar::ctl

#endif  // SRC_CTL_SAVED_STREAM_H_
