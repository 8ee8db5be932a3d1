package holdproxy.scale;

import holdproxy.input.BadInput;
import holdproxy.toml.TomlSection;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A run, read from a TOML file. Errors are thrown as {@link BadInput} with the line.
 *
 * @param file file name, for errors
 * @param name of the run and of its result
 * @param memoryGb limit for the memory of all processes of the run together
 * @param measurements in the order of the file
 */
record ScaleFile(String file, String name, double memoryGb, List<MeasureSpec> measurements) {
    private static final double MEMORY_GB = 12;

    static ScaleFile read(Path path) {
        try {
            return read(path.getFileName().toString(), Files.readString(path));
        } catch (IOException e) {
            throw new BadInput(
                    "the run " + path + " cannot be read: " + e.getClass().getSimpleName());
        }
    }

    static ScaleFile read(String file, String text) {
        TomlSection top = TomlSection.parse(file, "the run", text);
        String name = top.string("name", file.replace(".toml", ""));
        double memoryGb = top.number("memory_gb", MEMORY_GB, 0.5, 1024);
        List<MeasureSpec> measurements = new ArrayList<>();
        top.sections("measure").forEach(part -> measurements.add(MeasureSpec.read(part)));
        if (measurements.isEmpty()) {
            throw top.error(null, "[[measure]] is missing from the run");
        }
        top.rejectUnknownKeys();
        return new ScaleFile(file, name, memoryGb, List.copyOf(measurements));
    }

    /** Refuses a run that needs more descriptors or memory than available; called before anything starts. */
    void check(long openFiles, double availableGb) {
        for (MeasureSpec each : measurements) {
            String where = file + " line " + each.line() + ": ";
            long descriptors = each.kind().descriptors(each);
            if (descriptors > openFiles) {
                throw new BadInput(
                        where
                                + "the open-files limit is too low: a process of "
                                + each.kind().configName
                                + " at "
                                + each.largest()
                                + " needs "
                                + descriptors
                                + ", the limit is "
                                + openFiles
                                + " (ulimit -n)");
            }
            double needGb = each.kind().memoryGb(each);
            if (needGb > memoryGb) {
                throw new BadInput(
                        String.format(
                                Locale.ROOT,
                                "%s%s at %d needs about %.1f GB, memory_gb is %.1f",
                                where,
                                each.kind().configName,
                                each.largest(),
                                needGb,
                                memoryGb));
            }
            if (needGb > availableGb) {
                throw new BadInput(
                        String.format(
                                Locale.ROOT,
                                "%s%s at %d needs about %.1f GB, this machine has %.1f GB left",
                                where,
                                each.kind().configName,
                                each.largest(),
                                needGb,
                                availableGb));
            }
        }
    }
}
