/** Formats rows as a text table whose columns are as wide as their widest cell. */

/** Rows of cells; the first row is the heading. */
export type Table = readonly (readonly string[])[];

/** Formats tables. */
export const Table = {
  /** The rows as lines of text. */
  text: (rows: Table): string => {
    const widths =
      rows[0]?.map((_cell, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0))) ?? [];
    return rows
      .map((row) =>
        row
          .map((cell, column) => cell.padEnd(widths[column]!))
          .join('  ')
          .trimEnd(),
      )
      .join('\n');
  },
};
