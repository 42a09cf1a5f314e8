package loomreel.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import loomreel.settings.cue.Key;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Each key and enum word of a settings file, and the member of the program that it sets. */
class SettingsKeysTest {
  /** The definition of the schema, or its field, that each record is bound to. */
  private static final Map<Class<?>, String> PATHS_IN_SCHEMA =
      Map.ofEntries(
          Map.entry(InstallationFile.Features.class, "/Features"),
          Map.entry(Installation.class, "/Installation"),
          Map.entry(Installation.Listeners.class, "/Installation/properties/listen"),
          Map.entry(Installation.Worker.class, "/Worker"),
          Map.entry(Installation.JobClass.class, "/Class"),
          Map.entry(Installation.Tenant.class, "/Tenant"),
          Map.entry(Installation.Limits.class, "/Limits"),
          Map.entry(Installation.WorkerRules.class, "/Rules"),
          Map.entry(Installation.Network.class, "/Network"),
          Map.entry(FaktorySettings.class, "/Faktory"),
          Map.entry(FaktorySettings.Workers.class, "/FaktoryWorkers"),
          Map.entry(FaktorySettings.Queue.class, "/Queue"),
          Map.entry(FaktorySettings.JobType.class, "/JobType"),
          Map.entry(FaktorySettings.Backlog.class, "/Faktory/properties/backlog"));

  /** The field of the schema that each enum is bound to. */
  private static final Map<Class<?>, String> ENUM_PATHS_IN_SCHEMA =
      Map.of(
          Installation.Idempotency.class, "/Class/properties/repeat",
          Installation.DeduplicationScope.class, "/Class/properties/group",
          Installation.LoadReporting.class, "/Network/properties/reports",
          FaktorySettings.Durability.class, "/Faktory/properties/durability/additionalProperties",
          FaktorySettings.ShutdownRequest.class, "/FaktoryWorkers/properties/on_stop");

  private static final String MEMBERS_BY_KEY =
      """
      Features: faktory=faktory
      Installation: name=name site=zone dispatchers=dispatchers listen=listeners \
      discovery=discoveryAddress workers=workers classes=jobClasses tenants=tenants \
      limits=limits rules=workerRules network=network faktory=faktory
      Listeners: http=httpAddress operators=adminAddress
      Worker: address=address site=zone kind=kind block=failureDomain weight=weight
      JobClass: repeat=idempotency group=deduplicationScope window=deduplicationWindow \
      target=latencyObjective stretch=latencyObjectivePerWork deadline=deadline worth=priorityWeight \
      late_worth=latePriorityFraction priority=priority kind=workerKind
      Tenant: allowance=quotaPerSecond
      Limits: attempts=maxAttempts second_copies=hedging cancelling=cancellation \
      probing=healthChecks hold_off=retryAfter max_hold_off=maxRetryAfter memory=memory \
      descriptors=maxDescriptors
      WorkerRules: stop_sending_within=drainGrace ask_within=pollInterval \
      cold_from=initialCapacityFraction cold_for=slowStartDuration \
      tip_multiple=overloadMultiple fall_within=overloadWindow
      Network: connect_within=connectTimeout idle_for=idleTimeout reports=loadReporting \
      tells_start=reportsJobStart
      FaktorySettings: listen=listenAddress password=password \
      iterations=passwordHashIterations workers=workers queues=queues job_types=jobTypes \
      share=maxCapacityFraction backlog=backlog connections=maxConnections \
      command=maxCommandSize retry=defaultRetries backoff=initialBackoff \
      remember=endedJobRetention remember_most=maxRetainedJobs may_mutate=allowsMutation \
      spool=spoolDirectory spool_most=maxSpoolSize durability=durability
      Workers: allowed=enabled beat_within=heartbeatTimeout fetch_wait=fetchTimeout \
      slots=initialSlots cold=slowStart on_stop=shutdownRequest
      Queue: class=jobClass weight=weight tenant=tenant
      JobType: class=jobClass
      Backlog: jobs=maxJobs bytes=maxSize
      Idempotency: free=IDEMPOTENT guarded=KEYED single_shot=NON_IDEMPOTENT
      DeduplicationScope: all=ALL zone=ZONE cell=FAILURE_DOMAIN
      LoadReporting: none=NONE answers=WITH_ANSWERS probes=WITH_HEALTH_CHECKS
      Durability: written=WRITTEN synced=SYNCED
      ShutdownRequest: stay=NONE quiet=QUIET terminate=TERMINATE
      """;

  @Test
  void eachKeySetsItsMember() throws Exception {
    Map<String, String> actual = new TreeMap<>();
    for (Class<?> type : PATHS_IN_SCHEMA.keySet()) {
      List<String> members = new ArrayList<>();
      for (RecordComponent component : type.getRecordComponents()) {
        members.add(component.getAnnotation(Key.class).value() + "=" + component.getName());
      }
      actual.put(type.getSimpleName(), String.join(" ", members));
    }
    for (Class<?> type : ENUM_PATHS_IN_SCHEMA.keySet()) {
      List<String> members = new ArrayList<>();
      for (Object constant : type.getEnumConstants()) {
        members.add(wordOf((Enum<?>) constant) + "=" + ((Enum<?>) constant).name());
      }
      actual.put(type.getSimpleName(), String.join(" ", members));
    }
    Map<String, String> expected = new TreeMap<>();
    MEMBERS_BY_KEY
        .lines()
        .map(line -> line.split(": ", 2))
        .forEach(entry -> expected.put(entry[0], entry[1]));
    assertEquals(expected, actual);
  }

  @ParameterizedTest
  @MethodSource("boundRecords")
  void recordHasTheKeysOfTheSchema(Class<?> type) throws Exception {
    Set<String> keys = new TreeSet<>();
    for (RecordComponent component : type.getRecordComponents()) {
      keys.add(component.getAnnotation(Key.class).value());
    }
    Set<String> keysInSchema = new TreeSet<>();
    inSchema(PATHS_IN_SCHEMA.get(type))
        .path("properties")
        .fieldNames()
        .forEachRemaining(keysInSchema::add);
    assertEquals(keysInSchema, keys);
  }

  @ParameterizedTest
  @MethodSource("boundEnums")
  void enumHasTheWordsOfTheSchema(Class<?> type) throws Exception {
    Set<String> words = new TreeSet<>();
    for (Object constant : type.getEnumConstants()) {
      words.add(wordOf((Enum<?>) constant));
    }
    Set<String> wordsInSchema = new TreeSet<>();
    inSchema(ENUM_PATHS_IN_SCHEMA.get(type))
        .findValues("const")
        .forEach(word -> wordsInSchema.add(word.asText()));
    inSchema(ENUM_PATHS_IN_SCHEMA.get(type))
        .findValues("enum")
        .forEach(list -> list.forEach(word -> wordsInSchema.add(word.asText())));
    assertEquals(wordsInSchema, words);
  }

  @Test
  void eachTypeThatIsBoundIsChecked() {
    Set<Class<?>> bound = new HashSet<>(PATHS_IN_SCHEMA.keySet());
    bound.addAll(ENUM_PATHS_IN_SCHEMA.keySet());
    Set<Class<?>> declared = new HashSet<>();
    for (Class<?> outer : List.of(Installation.class, FaktorySettings.class)) {
      declared.add(outer);
      declared.addAll(Arrays.asList(outer.getDeclaredClasses()));
    }
    declared.add(InstallationFile.Features.class);
    assertEquals(declared, bound);
  }

  private static Set<Class<?>> boundRecords() {
    return PATHS_IN_SCHEMA.keySet();
  }

  private static Set<Class<?>> boundEnums() {
    return ENUM_PATHS_IN_SCHEMA.keySet();
  }

  private static String wordOf(Enum<?> constant) throws NoSuchFieldException {
    Key key = constant.getDeclaringClass().getField(constant.name()).getAnnotation(Key.class);
    assertNotNull(key, () -> "no key on " + constant);
    return key.value();
  }

  private static JsonNode inSchema(String path) throws Exception {
    String definition =
        path.startsWith("/Features") ? InstallationFile.FEATURES : InstallationFile.INSTALLATION;
    JsonNode schema = new ObjectMapper().readTree(InstallationFile.schema().jsonSchema(definition));
    return schema.path("$defs").at(path);
  }
}
