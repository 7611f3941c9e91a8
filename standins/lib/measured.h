/* File of measured figures that the capacity page is worked out from. */
#pragma once

#include <stdio.h>

/**
 * measured_open - starts build/measured/BENCH.txt; run from the root of the repository
 *
 * Return: a file that the caller closes, or NULL after a line on standard error.
 */
FILE *measured_open (const char *bench);

/** measured_write - adds the line `name value unit` */
void measured_write (FILE *file, const char *name, double value, const char *unit);
