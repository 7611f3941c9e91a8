/* Files of measurements from which the capacity page is calculated. */
#pragma once

#include <stdio.h>

/**
 * measured_open - creates build/measured/BENCH.txt below the current directory, the repository root
 *
 * Return: (transfer) the open file, or NULL after an error message on standard error.
 */
FILE *measured_open (const char *bench);

/** measured_write - appends the line "NAME VALUE UNIT" */
void measured_write (FILE *file, const char *name, double value, const char *unit);
