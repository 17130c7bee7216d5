#pragma once

#include <string>

#include <base/Error.h>

namespace bench {

/** Whole text of a file; fails with "read-failed". */
base::Result<std::string> readFile(const std::string &path);

/** New directory that is removed, with its files, at the end of its lifetime. */
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    const std::string &path() const { return path_; }

private:
    std::string path_;
};

} // namespace bench
