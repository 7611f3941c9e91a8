#include "journal.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include "standin.h"

void
journal_open (Journal *journal, const char *path)
{
  journal->fd = -1;
  if (path == NULL)
    return;
  journal->fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (journal->fd < 0)
    standin_fail (path, "choose a writable directory");
}

void
journal_write (const Journal *journal, const char *event, const char *id)
{
  char line[128];
  if (journal->fd < 0)
    return;
  int size = snprintf (line, sizeof line, "%lld %s %s\n", (long long)standin_now (), event, id);
  if (write (journal->fd, line, (size_t)size) != size)
    standin_fail ("journal", "free disk space");
}
