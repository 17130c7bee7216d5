#pragma once

namespace cli {

/** Exit codes of the client commands, as in docs/operations/command-line.md. */
enum ExitCode : int {
    Ok = 0,
    Refused = 1,        ///< the file is invalid, or the note was rejected
    WrongUsage = 2,     ///< the command line is invalid, or a file cannot be read
    Unreachable = 3,    ///< the daemon was not reached or refused the request; nothing was done
    OutcomeUnknown = 4, ///< the note may have been published; repeating the command is safe
    NoSuchNote = 5,     ///< the daemon has no note with that id
    Doubtful = 6,       ///< the configuration may be sent, but has warnings or may refuse callers
};

} // namespace cli
