/* Record of what happened, one line an event, that survives the death of its process. */
#pragma once

#include "kumquat/types.h"

typedef struct
{
  int fd;
} Journal;

/** journal_open - creates the file; without @path nothing is recorded */
void journal_open (Journal *journal, const char *path);

/** journal_write - appends "TIME_US EVENT ID" */
void journal_write (const Journal *journal, const char *event, const char *id);
