#pragma once

namespace cli {

/** Exit codes of the client commands, as in docs/operations/command-line.md. */
enum ExitCode : int {
    Ok = 0,
    Refused = 1,     ///< the file has faults, or the note is rejected
    WrongUsage = 2,  ///< the command line cannot be understood, or a file cannot be read
    Unreachable = 3, ///< the daemon was not reached or refused the request; nothing was done
    NotKnown = 4,    ///< the note may have been published; repeating the command is safe
    NoSuchNote = 5,  ///< the daemon knows no note with that id
};

} // namespace cli
