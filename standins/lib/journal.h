/* Event journal, one line per event. Lines are written unbuffered, so that they survive a crash of
 * the process. */
#pragma once

#include "kumquat/types.h"

typedef struct
{
  int fd;
} Journal;

/** journal_open - opens the file for appending; nothing is recorded if @path is NULL */
void journal_open (Journal *journal, const char *path);

/** journal_write - appends a line "TIME_US EVENT ID" */
void journal_write (const Journal *journal, const char *event, const char *id);
