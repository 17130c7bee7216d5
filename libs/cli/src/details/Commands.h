#pragma once

#include "details/Context.h"

namespace cli::details {

int noteCheck(const Context &context);
int notePublish(const Context &context);
int noteStatus(const Context &context);
int noteList(const Context &context);
int status(const Context &context);
int settingsCheck(const Context &context);
int keyDigest(const Context &context);
int keyNew(const Context &context);

} // namespace cli::details
