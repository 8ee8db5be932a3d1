package holdproxy.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import holdproxy.input.BadInput;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of one run, stored as a JSON file.
 *
 * @param run name of the run
 * @param began start time, in UTC
 * @param machine cores, memory, limits and load average of the machine
 * @param findings measured values and verdicts
 */
record ResultFile(String run, String began, String machine, Findings findings) {
    void write(Path file) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("run", run);
        json.put("began", began);
        json.put("machine", machine);
        json.put("series", findings.series().stream().map(Series::json).toList());
        json.put("latencies", findings.latencies().stream().map(Latencies::json).toList());
        json.put("verdicts", findings.verdicts().stream().map(Verdict::json).toList());
        try {
            Files.writeString(
                    file, JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(json) + "\n");
        } catch (IOException e) {
            throw new BadInput("cannot write " + file + ": " + e.getClass().getSimpleName());
        }
    }

    static ResultFile read(Path file) {
        JsonPart json = JsonPart.read(file);
        Findings findings = new Findings();
        json.parts("series").forEach(p -> findings.series().add(Series.read(p)));
        json.parts("latencies").forEach(p -> findings.latencies().add(Latencies.read(p)));
        json.parts("verdicts").forEach(p -> findings.verdicts().add(Verdict.read(p)));
        return new ResultFile(json.text("run"), json.text("began"), json.text("machine"), findings);
    }
}
