#include "measured.h"

#include <sys/stat.h>

#define PATH_BYTES 128

FILE *
measured_open (const char *bench)
{
  char path[PATH_BYTES];
  snprintf (path, sizeof path, "build/measured/%s.txt", bench);
  mkdir ("build", 0777);
  mkdir ("build/measured", 0777);
  FILE *file = fopen (path, "w");
  if (file == NULL)
    fprintf (stderr, "cannot write %s; run from the root of the repository\n", path);
  return file;
}

void
measured_write (FILE *file, const char *name, double value, const char *unit)
{
  fprintf (file, "%s %.4g %s\n", name, value, unit);
}
