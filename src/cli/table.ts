// Rows as a table for people: columns as wide as they must be.
export type Table = readonly (readonly string[])[];

export const Table = {
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
